package commander

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/chervilvane/chervilvane/authenticator"
)

// maxLeakChecks is the number of checks for leaked goroutines, each about a
// second long. On a busy machine, the goroutines of a closed connection take that
// long to end.
const maxLeakChecks = 10

func TestMain(m *testing.M) {
	code := m.Run()
	var leak error
	for range maxLeakChecks {
		if leak = goleak.Find(); leak == nil {
			break
		}
	}
	if leak != nil && code == 0 {
		fmt.Fprintln(os.Stderr, "leaked goroutines:", leak)
		code = 1
	}
	os.Exit(code)
}

const (
	goodText = "AvailabilityZones: [{Name: a}]\n"
	badText  = "AvailabilityZones: [{Nmae: a}]\nTeams: 3\n"
)

// writeFile writes a text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "text.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunReportsUsageAndConnectionErrors(t *testing.T) {
	cases := map[string]struct {
		args   string
		status Status
		note   string
	}{
		"no command":         {"", StatusUsage, "SUBCOMMANDS"},
		"unknown command":    {"frobnicate", StatusUsage, "SUBCOMMANDS"},
		"help":               {"submit -h", StatusDone, "-queue"},
		"unknown flag":       {"submit -q x", StatusUsage, "not defined: -q"},
		"flag missing":       {"submit -data x", StatusUsage, "submit needs -queue"},
		"no key subcommand":  {"key", StatusUsage, "withdraw"},
		"argument missing":   {"apply", StatusUsage, "apply takes TEXT; got 0 arguments"},
		"too many arguments": {"result a b", StatusUsage, "result takes ID; got 2 arguments"},
		"late bad flag":      {"apply text.yaml -bse 3", StatusUsage, "-bse"},
		"bad format":         {"status -o xml", StatusUsage, "want text or json"},
		"bad address":        {"status -address ftp://x", StatusUsage, "isn't an address"},
		"bad key id":         {"key withdraw 12", StatusUsage, "isn't a key id"},
		"missing file":       {"check /nonexistent/text.yaml", StatusUsage, "no such file"},
		"data twice":         {"submit -queue q -data x -file -", StatusUsage, "not both"},
		"zero timeout":       {"submit -queue q -timeout 0s", StatusUsage, "-timeout must be"},
		"unreachable":        {"status", StatusUnreachable, "no instance answered"},
		"submit unreachable": {"submit -queue q", StatusUnreachable, "no instance answered"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, out, notes := run(t, "127.0.0.1:1", strings.Fields(c.args)...)
			is.Equal(status, c.status)
			is.Equal(out, "")
			is.True(strings.Contains(notes, c.note)) // the note says what is wrong
		})
	}
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	status, out, _ := run(t, "", "check", writeFile(t, goodText))
	is.Equal(status, StatusDone)
	is.Equal(out, "no findings\n")
	bad := writeFile(t, badText)
	status, out, _ = run(t, "", "check", bad)
	is.Equal(status, StatusUsage)
	is.Equal(strings.Count(out, bad+":"), 3) // each finding is a line with its position
	status, out, _ = run(t, "", "check", bad, "-o", "json")
	is.Equal(status, StatusUsage)
	is.True(strings.HasPrefix(out, `{"Findings":[{"File":`))
	status, out, _ = run(t, "", "check", "-settings", writeFile(t, "Instance: a1\n"))
	is.Equal(status, StatusUsage)
	is.True(strings.Contains(out, "Listen: the field is missing"))
}

// TestCheckAgainstVersionInForce guards against differences that hide the findings or change the
// exit status, and against a check that sends requests without being asked to: the address is
// set in the environment. The format of the platform is a stub.
func TestCheckAgainstVersionInForce(t *testing.T) {
	const (
		teamText = goodText + "Teams: [{Name: x, Share: 1}]\n"
		unused   = "warning: no queue, service, batch or job names the team x\n"
		platform = "{platform"
		wrong    = ": AvailabilityZones[0].Nmae: unknown field"
	)
	cases := map[string]struct {
		text, against, args string
		status              Status
		out, note           string
		requests            int
	}{
		"offline":                  {goodText, "", "", StatusDone, "no findings\n", "", 0},
		"a warning":                {teamText, "", "", StatusDone, unused, "", 0},
		"a warning as JSON":        {teamText, "", "-o json", StatusDone, `"Severity":"warning"}]}`, "", 0},
		"an error as JSON":         {badText, goodText, "-o json", StatusUsage, `"Severity":"error"}]}`, "", 0},
		"a file":                   {goodText, teamText, "", StatusDone, "no findings\nTeams[x]: removed\n", "", 0},
		"a file as JSON":           {goodText, teamText, "-o json", StatusDone, `{"Findings":[],"Differences":[{"Path":"Teams[x]","Change":"Removed"}]}`, "", 0},
		"the same":                 {goodText, goodText, "", StatusDone, "no findings\nno differences\n", "", 0},
		"an instance":              {teamText, "", "-in-force", StatusDone, unused + "Teams[x].Limit.CPU: was 2, is no limit\n", "", 1},
		"errors hide differences":  {badText, goodText, "", StatusUsage, wrong, "", 0},
		"unreachable":              {teamText, "", "-address 127.0.0.1:1", StatusUnreachable, unused, "no instance answered", 0},
		"unreachable, with errors": {badText, "", "-address 127.0.0.1:1", StatusUsage, wrong, "no instance answered", 0},
		"an unreadable file":       {goodText, "Teams: 3", "", StatusUsage, "no findings", "text.yaml: the text can't be read", 0},
		"both":                     {goodText, goodText, "-in-force", StatusUsage, "", "-against excludes -in-force", 0},
		"settings":                 {"Instance: a1", "", "-settings -in-force", StatusUsage, "", "settings have no version in force", 0},
		"platform by the content":  {platform, "", "-in-force", StatusDone, "the platform's, against in force\nno differences", "", 0},
		"platform by the flag":     {"x", "", "-platform", StatusDone, "the platform's, against \n", "", 0},
		"not the platform's":       {platform, "", "-platform=false", StatusUsage, "not valid YAML", "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newStubInstance(t, map[string]answer{"GET /v1/config": {200, `{"Version":6,"Text":"AvailabilityZones: [{Name: a}]\nTeams: [{Name: x, Share: 1, Limit: {CPU: 2}}]"}`}})
			args := append([]string{"check", writeFile(t, c.text)}, strings.Fields(c.args)...)
			if c.against != "" {
				args = append(args, "-against", writeFile(t, c.against))
			}
			status, out, notes := run(t, i.URL, args...)
			is.Equal(status, c.status)
			is.True(strings.Contains(out, c.out))
			is.True(out == "" || c.out != "")
			is.True(strings.Contains(notes, c.note))
			is.Equal(len(i.requests()), c.requests)
		})
	}
}

func TestApply(t *testing.T) {
	const (
		outdated    = `{"Instances":[{"Instance":"a1","Version":7,"Reachable":true},{"Instance":"b1","Version":6,"Reachable":true}]}`
		unreachable = `{"Instances":[{"Instance":"a1","Version":7,"Reachable":true},{"Instance":"b1","Version":0,"Reachable":false}]}`
	)
	routes := func(put answer, running string) map[string]answer {
		return map[string]answer{
			"GET /v1/config":         {200, `{"Version":6,"Text":""}`},
			"PUT /v1/config":         put,
			"GET /v1/config/running": {200, running},
		}
	}
	accepted := answer{200, `{"Version":7}`}
	cases := map[string]struct {
		put     answer
		running string
		text    string
		args    string
		status  Status
		out     string
		note    string
		sent    string
	}{
		"uses the version in force":  {accepted, "", goodText, "", StatusDone, "version 7\n", "", "PUT /v1/config?base=6&id="},
		"uses the given base and id": {accepted, "", goodText, "-base 0 -id x", StatusDone, "version 7\n", "", "PUT /v1/config?base=0&id=x"},
		"as JSON":                    {accepted, "", goodText, "-o json", StatusDone, "{\"Version\":7}\n", "", ""},
		"sends no invalid text":      {accepted, "", badText, "", StatusUsage, "text.yaml:1:", "", ""},
		"prints a conflict":          {answer{409, `{"Version":9,"Operator":"rui"}`}, "", goodText, "", StatusNotDone, "version 9 of operator rui is in force", "", ""},
		"prints findings of server":  {answer{422, `{"Findings":[{"File":"text","Line":4,"Column":2,"Path":"P","Message":"m"}]}`}, "", goodText, "", StatusUsage, "text.yaml:4:2: P: m\n", "", ""},
		"prints how to resend":       {answer{503, `{"Detail":"no leader"}`}, "", goodText, "-id x", StatusNotDone, "", "apply -base 6 -id x", ""},
		"prints a refusal":           {answer{403, `{"Reason":"KeyRefused","Detail":"d"}`}, "", goodText, "", StatusNotDone, "", "KeyRefused: d", ""},
		"waits for every instance":   {accepted, "", goodText, "-wait -timeout 20ms", StatusNotDone, "", "b1 (version 6)", ""},
		"skips unreachable instance": {accepted, unreachable, goodText, "-wait", StatusDone, "version 7\n", "don't answer: b1", ""},
		"rejects an invalid base":    {accepted, "", goodText, "-base -2", StatusUsage, "", "-base must be a version", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newStubInstance(t, routes(c.put, cmp.Or(c.running, outdated)))
			status, out, notes := run(t, i.URL, append([]string{"apply", writeFile(t, c.text)}, strings.Fields(c.args)...)...)
			is.Equal(status, c.status)
			is.True(strings.Contains(out, c.out))
			is.True(out == "" || c.out != "") // a failure prints no result
			is.True(strings.Contains(notes, c.note))
			is.True(strings.Contains(strings.Join(i.requests(), "\n"), c.sent))
			if c.text == badText {
				is.Equal(len(i.requests()), 0) // nothing is sent
			}
		})
	}
}

func TestApplyResendKeepsIDAndBase(t *testing.T) {
	is := is.New(t)
	i := newStubInstance(t, map[string]answer{"PUT /v1/config": {200, `{"Version":1}`}})
	i.drop("PUT /v1/config")
	status, out, _ := run(t, i.URL, "apply", "-base", "0", writeFile(t, goodText))
	is.Equal(status, StatusDone)
	is.Equal(out, "version 1\n")
	is.Equal(len(i.requests()), 2)
	is.Equal(i.requests()[0], i.requests()[1]) // the resend repeats the id and the base
}

func TestGrantSendsNoSecret(t *testing.T) {
	is := is.New(t)
	i := newStubInstance(t, map[string]answer{"POST /v1/keys": {200, `{"State":"Granted"}`}})
	status, out, notes := run(t, i.URL, "key", "grant", "-account", "web", "-team", "booking")
	is.Equal(status, StatusDone)
	token, err := authenticator.ParseToken(strings.TrimSpace(out))
	is.NoErr(err) // the token is the whole output
	secret := strings.Split(token.Plaintext(), ".")[2]
	is.True(strings.Contains(i.body(0), string(token.ID)))
	is.True(!strings.Contains(i.body(0), secret)) // only the hash leaves the machine
	is.True(!strings.Contains(notes, secret))
}

func TestWithdrawAndListKeys(t *testing.T) {
	is := is.New(t)
	i := newStubInstance(t, map[string]answer{
		"DELETE /v1/keys/0011223344556677": {202, `{"State":"Pending"}`},
		"GET /v1/keys":                     {200, `{"Keys":[{"Key":"0011223344556677","Account":"web","Team":"booking","Withdrawn":true}]}`},
	})
	status, out, _ := run(t, i.URL, "key", "withdraw", "cv1.0011223344556677.c2VjcmV0")
	is.Equal(status, StatusDone)
	is.True(strings.Contains(out, "not in the log yet"))
	is.Equal(i.requests()[0], "DELETE /v1/keys/0011223344556677") // a token's secret isn't sent
	status, out, _ = run(t, i.URL, "key", "list")
	is.Equal(status, StatusDone)
	is.Equal(out, "KEY               ACCOUNT  TEAM     STATE\n0011223344556677  web      booking  withdrawn\n")
}

func TestQueryCommands(t *testing.T) {
	const state = `{"Instance":"a1","AvailabilityZone":"a","Version":7,"LogLeader":"b1","LogFreshMillis":40,` +
		`"Zones":[{"AvailabilityZone":"a","Epoch":3,"Holder":"a1"}],"Scheduler":{"Holding":true,"Epoch":3,` +
		`"Upstreams":[{"ID":"w1","Rack":"r1","Holds":{"CPU":8000,"Memory":16000000000,"Slots":8},"Used":{"CPU":1500,"Memory":0,"Slots":2},"Tasks":2,"State":"Ready"}],` +
		`"Waiting":1,"First":[{"Task":"t1","Team":"booking","Why":{"Reason":"TeamLimit","Detail":"full","Remedy":"raise it"}}]}}`
	routes := map[string]answer{
		"GET /v1/status":         {200, state},
		"GET /v1/config":         {200, `{"Version":7,"Text":"Teams: []\n"}`},
		"GET /v1/config/history": {200, `{"History":[{"Version":7,"Operator":"ana","AtMillis":1000}]}`},
		"GET /v1/requests/r1":    {200, `{"ID":"r1","Outcome":"Pending","Reason":"TeamLimit"}`},
		"DELETE /v1/requests/r1": {200, `{"ID":"r1","Outcome":"NotRun","Reason":"Cancelled"}`},
		"GET /v1/requests/r2":    {404, `{"ID":"r2","Outcome":"NotRun","Reason":"NoSuchRequest","Detail":"no r2"}`},
	}
	cases := map[string]struct {
		args   string
		status Status
		out    string
		note   string
	}{
		"status as JSON":  {"status -o json", StatusDone, state, ""},
		"status":          {"status", StatusDone, "w1        r1    Ready  2      1500m/8  0B/16GB  2/8", ""},
		"status, waiting": {"status", StatusDone, "t1            booking  TeamLimit: full (remedy: raise it)", ""},
		"show":            {"show", StatusDone, "Teams: []\n", "version 7"},
		"history":         {"history", StatusDone, "7        ana       1970-01-01T00:00:01Z", ""},
		"result pending":  {"result r1", StatusNotDone, "", "Pending: TeamLimit"},
		"result as JSON":  {"result r1 -o json", StatusNotDone, `"Outcome":"Pending"`, ""},
		"cancelled":       {"cancel r1", StatusDone, "", "NotRun: Cancelled"},
		"unknown request": {"result r2", StatusNotDone, "", "NoSuchRequest: no r2"},
		"version":         {"version", StatusDone, "v0", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newStubInstance(t, routes)
			status, out, notes := run(t, i.URL, strings.Fields(c.args)...)
			is.Equal(status, c.status)
			is.True(strings.Contains(out, c.out))
			is.True(strings.Contains(notes, c.note))
		})
	}
}
