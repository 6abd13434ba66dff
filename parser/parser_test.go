package parser

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/unit"
)

func TestParseValidText(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/whole.yaml")
	is.NoErr(err)
	c, findings := Parse("whole.yaml", text)
	is.Equal(len(findings), 0) // a valid text has no findings
	q, ok := c.FindQueue("holds")
	is.True(ok)
	is.Equal(q.Access, Keyed{})
	is.Equal(q.Class, Interactive{})
	is.Equal(q.Need.Slots, unit.Count(1))
}

func TestParseLenientAcceptsTextOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	text := []byte(baseText + `  - {Name: new, Share: 0, Color: red}
Queues: [{Name: q, Team: prelo, Class: Someday}, {Name: r, Team: nobody}, {Name: s, Team: prelo, MaxWaiting: 0}]
Wishes: []
`)
	_, findings := Parse("t", text)
	is.Equal(len(findings), 6)
	c := ParseLenient(text)
	is.Equal(len(c.Teams), 3)
	is.Equal(c.Teams[2].Share, 1)
	is.Equal(len(c.Queues), 1) // queues with an unknown team or a zero MaxWaiting are dropped
	is.Equal(c.Queues[0].Class, Interactive{})
	is.Equal(ParseLenient([]byte("\t: [")), Config{})
}
