// Command knownred runs all tests with the race detector and compares their
// failures with KNOWN-RED.txt. It prints the output that go test has for each
// package. A failure listed in the file is printed and tolerated; any other
// failure makes the command exit with status 1.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sort"
	"strings"
)

// event is a line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	known := readKnown("KNOWN-RED.txt")
	cmd := exec.Command("go", "test", "-race", "-count=1", "-timeout=540s", "-json", "./...")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		fail(err)
	}
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	failedTests, failedPackages := collect(out)
	runErr := cmd.Wait()
	unexpected := reportFailures(failedTests, failedPackages, known)
	if unexpected > 0 {
		fmt.Printf("ci: %d unexpected failures\n", unexpected)
		os.Exit(1)
	}
	if runErr != nil && len(failedTests) == 0 {
		fail(runErr)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "ci:", err)
	os.Exit(1)
}

// readKnown returns the set of tests that the file at path lists, each as
// "package.Test". An entry begins with a line of the form "TEST PACKAGE ...";
// lines that don't begin with the name of a test are ignored. The set is empty
// if the file can't be read.
func readKnown(path string) map[string]bool {
	known := map[string]bool{}
	data, err := os.ReadFile(path)
	if err != nil {
		return known
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= 2 && strings.HasPrefix(fields[0], "Test") {
			known[strings.TrimSuffix(fields[1], ",")+"."+fields[0]] = true
		}
	}
	return known
}

// collect reads the events of go test and returns the failed tests, each as
// "package.Test", and the failed packages. It prints the output of failed tests,
// of tests that a timeout or a panic ended, and of packages.
func collect(out interface{ Read([]byte) (int, error) }) (tests, packages map[string]bool) {
	tests, packages = map[string]bool{}, map[string]bool{}
	output := map[string][]string{}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			continue
		}
		name := e.Package + "." + e.Test
		switch e.Action {
		case "output", "build-output":
			output[name] = append(output[name], e.Output)
			if e.Test == "" {
				fmt.Print(e.Output)
			}
		case "fail":
			if e.Test == "" {
				packages[e.Package] = true
				printUnfinished(e.Package, output)
				continue
			}
			tests[name] = true
			fmt.Print(strings.Join(output[name], ""))
			delete(output, name)
		case "pass", "skip":
			delete(output, name)
		}
	}
	return tests, packages
}

// printUnfinished prints the output of the tests of a failed package that neither
// passed nor failed. After a timeout it contains the stacks of the goroutines.
func printUnfinished(pkg string, output map[string][]string) {
	for name, lines := range output {
		if strings.HasPrefix(name, pkg+".") && name != pkg+"." {
			fmt.Print(strings.Join(lines, ""))
		}
	}
}

// reportFailures prints all failures and returns the number of unexpected ones. A
// package that failed without a failed test, for instance by a build error, a
// panic or a data race at exit, counts as one unexpected failure.
func reportFailures(tests, packages, known map[string]bool) int {
	unexpected := 0
	names := make([]string, 0, len(tests))
	for name := range tests {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if known[name] || known[topLevelTest(name)] {
			fmt.Println("ci: known red:", name)
			continue
		}
		unexpected++
		fmt.Println("ci: failed:", name)
	}
	for pkg := range packages {
		if !hasFailedTest(pkg, tests) {
			unexpected++
			fmt.Println("ci: failed package:", pkg)
		}
	}
	return unexpected
}

// topLevelTest returns the top-level test, as "package.Test", of a test or
// subtest.
func topLevelTest(name string) string {
	top, _, _ := strings.Cut(name[strings.LastIndex(name, ".Test")+1:], "/")
	return name[:strings.LastIndex(name, ".Test")+1] + top
}

// hasFailedTest reports whether a test, fuzz target or example of the package is
// among the failed tests.
func hasFailedTest(pkg string, tests map[string]bool) bool {
	for name := range tests {
		if strings.HasPrefix(name, pkg+".Test") || strings.HasPrefix(name, pkg+".Fuzz") || strings.HasPrefix(name, pkg+".Example") {
			return true
		}
	}
	return false
}
