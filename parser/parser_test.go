package parser

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/unit"
)

func TestParseReadsAWholeText(t *testing.T) {
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
