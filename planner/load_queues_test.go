package planner_test

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// loadQueue describes the jobs of a queue in a load. Durations are in milliseconds.
type loadQueue struct {
	keeper.Queue
	perSecond                   float64
	steps                       int
	meanTasks                   float64
	meanMilliCPU, meanMegabytes float64
	meanMillis                  float64
	gang                        bool
	checkpoint                  bool
	// eligible is the part of the upstreams that may run a step.
	eligible float64
	// spread is the standard deviation of the logarithm of the clients' estimates; chained
	// is the part of the jobs with one more step.
	spread, chained float64
	// worth is what a mean job earns in time. A late one earns a fifth of it.
	worth float64
	// failShare is the part of the runs that fail by themselves; poison is the part of the
	// jobs of which every run fails.
	failShare, poison float64
	// checkpointShare is the part of the jobs with checkpoints, if checkpoint is set; 0 means
	// all.
	checkpointShare float64
}

// ticketQueue returns a queue whose steps require tickets.
func ticketQueue(ttl clock.Millis, name string, priority int, stretch float64, latency clock.Millis, base, perUpstream float64) keeper.Queue {
	return keeper.Queue{
		Name: unit.Queue(name), Service: service, Priority: priority, MaxAttempts: 3, Stretch: stretch, TargetLatency: latency,
		RequiresTicket: true, TicketTTL: ttl, AdviceBaseMillis: base, AdvicePerUpstreamMillis: perUpstream,
	}
}

// grownQueues are the users' three kinds of jobs at 350 upstreams.
func grownQueues() []loadQueue {
	return []loadQueue{
		{
			Queue:     ticketQueue(2500, "build", 1, 2.2, 1000, 340, 4.9),
			perSecond: 5.43, steps: 1, meanTasks: 20, meanMilliCPU: 9000, meanMegabytes: 33000,
			meanMillis: 4000, gang: true, checkpoint: true, eligible: 0.35, spread: 0.5, chained: 0.2, worth: 8.74,
		},
		{
			Queue:     ticketQueue(2500, "reshuffle", 2, 4, 3000, 80, 1.1),
			perSecond: 11.2, steps: 1, meanTasks: 25, meanMilliCPU: 3500, meanMegabytes: 7100,
			meanMillis: 2200, checkpoint: true, eligible: 0.45, spread: 0.9, chained: 0.5, worth: 2.64,
		},
		{
			Queue:     ticketQueue(2500, "hold", 0, 1.5, 250, 9, 0.13),
			perSecond: 100, steps: 1, meanTasks: 3.2, meanMilliCPU: 5000, meanMegabytes: 18000,
			meanMillis: 800, eligible: 0.7, spread: 0.5, worth: 0.415,
		},
	}
}

// largeQueues are the users' three kinds of jobs at 1,100 upstreams.
func largeQueues() []loadQueue {
	return []loadQueue{
		{
			Queue:     ticketQueue(2500, "build", 1, 2.2, 1000, 390, 5.6),
			perSecond: 8.28, steps: 1, meanTasks: 26, meanMilliCPU: 9000, meanMegabytes: 17000,
			meanMillis: 6200, gang: true, checkpoint: true, eligible: 0.35, spread: 0.5, chained: 0.2, worth: 9.29,
		},
		{
			Queue:     ticketQueue(2500, "reshuffle", 2, 4, 3000, 140, 2),
			perSecond: 11.2, steps: 1, meanTasks: 40, meanMilliCPU: 5500, meanMegabytes: 10000,
			meanMillis: 2700, checkpoint: true, eligible: 0.45, spread: 0.9, chained: 0.5, worth: 4.3,
		},
		{
			Queue:     ticketQueue(2500, "hold", 0, 1.5, 250, 8.9, 0.13),
			perSecond: 177, steps: 1, meanTasks: 4, meanMilliCPU: 7800, meanMegabytes: 14000,
			meanMillis: 640, eligible: 0.7, spread: 0.5, worth: 0.381,
		},
	}
}

// smallQueues are the users' three kinds of jobs at 48 upstreams.
func smallQueues() []loadQueue {
	return []loadQueue{
		{
			Queue:     ticketQueue(2000, "build", 1, 2.2, 1000, 410, 5.9),
			perSecond: 1.81, steps: 1, meanTasks: 7, meanMilliCPU: 9000, meanMegabytes: 17000,
			meanMillis: 5000, gang: true, checkpoint: true, eligible: 0.35, spread: 0.5, chained: 0.2, worth: 12.4,
		},
		{
			Queue:     ticketQueue(2000, "reshuffle", 2, 4, 3000, 82, 1.2),
			perSecond: 4.35, steps: 1, meanTasks: 12, meanMilliCPU: 2000, meanMegabytes: 6000,
			meanMillis: 3400, checkpoint: true, eligible: 0.45, spread: 0.9, chained: 0.5, worth: 3.22,
		},
		{
			Queue:     ticketQueue(2000, "hold", 0, 1.5, 250, 7.4, 0.11),
			perSecond: 48.2, steps: 1, meanTasks: 2, meanMilliCPU: 2800, meanMegabytes: 6000,
			meanMillis: 640, eligible: 0.7, spread: 0.5, worth: 0.407,
		},
	}
}

// competingQueues are the users' three kinds of jobs at 350 upstreams of 32 cores, where
// callers compete for capacity and for the advice service.
func competingQueues() []loadQueue {
	return []loadQueue{
		{
			Queue:     ticketQueue(2500, "build", 1, 2.2, 1000, 442, 6.37),
			perSecond: 5.98, steps: 1, meanTasks: 20, meanMilliCPU: 9000, meanMegabytes: 13000,
			meanMillis: 4000, gang: true, checkpoint: true, eligible: 0.35, spread: 0.5, chained: 0.2, worth: 7.29, failShare: 0.05, poison: 0.03, checkpointShare: 0.5,
		},
		{
			Queue:     ticketQueue(2500, "reshuffle", 2, 4, 3000, 104, 1.43),
			perSecond: 12.3, steps: 1, meanTasks: 25, meanMilliCPU: 3500, meanMegabytes: 3600,
			meanMillis: 2200, checkpoint: true, eligible: 0.45, spread: 0.5, chained: 0.5, worth: 2.21, failShare: 0.02, poison: 0.03, checkpointShare: 0.8,
		},
		{
			Queue:     ticketQueue(2500, "hold", 0, 1.5, 250, 14.3, 0.208),
			perSecond: 88.5, steps: 1, meanTasks: 3.2, meanMilliCPU: 5000, meanMegabytes: 7100,
			meanMillis: 1000, eligible: 0.7, spread: 0.9, worth: 0.431, failShare: 0.005, poison: 0.01,
		},
	}
}
