package runner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/platform"
	"github.com/chervilvane/chervilvane/replicator"
)

// TestVoteOfRemovedMachineMovesBeforeItStopsCounting guards against a group that loses its
// majority for good: a machine is removed without notice, its successor has had its time to
// catch up, and then another machine loses its disk while the removed one still has its vote.
func TestVoteOfRemovedMachineMovesBeforeItStopsCounting(t *testing.T) {
	for name, catchUp := range map[string]clock.Millis{"short": 3 * clock.Second, "usual": 4 * clock.Second, "long": 10 * clock.Second} {
		t.Run(name, func(t *testing.T) {
			timeout := deadMemberTimeout(platform.Settings{CatchUp: catchUp})
			is.New(t).True(timeout+replicator.ReplaceElectionTimeouts*domainElectionTimeout <= catchUp)
		})
	}
}
