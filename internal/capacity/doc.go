// Package capacity is the capacity planner. From a captured load and a topology it estimates which limit breaks first as
// the load grows, how many caches a goal needs, and what the loss of machines does.
//
// The package does no I/O, starts no goroutine and reads no clock. Random choices come from seeds, so that the same
// question always has the same answer.
//
// There are two kinds of estimates. Bounds adds up the load on each limit, from the home nodes that package routing
// computes and the copies that fit into memory. It is fast for topologies of any size but ignores queueing. Run simulates the
// demand: the directors of package routing decide, and package simulation models the machines. It includes queueing,
// rejections and retries.
//
// A Planner combines both. Its method Break searches for the load at which a goal breaks, Causes for the limits that break
// it, Needs for the fewest caches that meet it, and Loss for the effect of a failure. Answer combines these
// results in the report of a plan.
package capacity
