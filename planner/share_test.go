package planner

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// TestFairLevel checks the division of a domain: the part that one account doesn't want
// goes to the others, by their weights.
func TestFairLevel(t *testing.T) {
	for name, c := range map[string]struct {
		uses []accountUse
		want float64
		over []unit.ClientAccount
	}{
		"all get what they want": {
			uses: []accountUse{{account: "a", weight: 1, running: 0.3, wanted: 0.5}, {account: "b", weight: 1, wanted: 0.1}},
			want: math.Inf(1),
		},
		"one wants all": {
			uses: []accountUse{{account: "a", weight: 1, running: 0.7, wanted: 5}, {account: "b", weight: 1, wanted: 0.1}},
			want: 0.6,
		},
		"both want all, one has it": {
			uses: []accountUse{{account: "a", weight: 1, running: 0.75, wanted: 5}, {account: "b", weight: 1, running: 0.05, wanted: 5}},
			want: 0.4,
		},
		"an account of a small weight has most": {
			uses: []accountUse{{account: "a", weight: 1, running: 0.6, wanted: 5}, {account: "b", weight: 3, running: 0.2, wanted: 5}},
			want: 0.2, over: []unit.ClientAccount{"a"},
		},
		"what others leave is divided": {
			uses: []accountUse{
				{account: "a", weight: 1, running: 0.1, wanted: 0.1},
				{account: "b", weight: 2, running: 0.5, wanted: 2},
				{account: "c", weight: 2, running: 0.1, wanted: 2},
			},
			want: 0.15,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			running := 0.
			for _, u := range c.uses {
				running += u.running
			}
			level := fairLevel(c.uses, max(running, usableShare))
			is.True(level == c.want || math.Abs(level-c.want) < 1e-9)
			over := accountsOverShare(c.uses)
			is.Equal(len(over), len(c.over))
			for _, name := range c.over {
				is.True(over[name])
			}
		})
	}
}

// TestAccountOverShareRanksLater checks which steps of an account over its share come after
// those of others.
func TestAccountOverShareRanksLater(t *testing.T) {
	for name, c := range map[string]struct {
		account     unit.ClientAccount
		priority    int
		longRunning bool
		want        bool
	}{
		"within its share":      {account: "within", priority: 2},
		"over its share":        {account: "over", priority: 2, want: true},
		"the most urgent queue": {account: "over", priority: 0},
		"long-running tasks":    {account: "over", priority: 2, longRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Planner{shares: shares{overShare: map[unit.ClientAccount]bool{"over": true}}}
			s := &step{
				job: &keeper.Job{Account: c.account}, spec: &keeper.Step{LongRunning: c.longRunning},
				rank: rank{priority: c.priority},
			}
			is := is.New(t)
			s.rank.overShare = p.isOverShare(s)
			is.Equal(s.rank.overShare, c.want)

			status := Status{Queues: map[unit.Queue]*QueueStatus{}}
			p.addWaiting(&status, s)
			is.Equal(status.Queues[""].OverShare == 1, c.want)
		})
	}
}
