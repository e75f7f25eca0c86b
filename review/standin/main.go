// Standin plays one case of the review against the program that the deploy file runs. It takes the part of everything that a
// director talks to: clients, cache nodes and the journal service. All addresses are loopback addresses.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the flags of one run.
type options struct {
	root    string // root of the repository
	scratch string // empty folder for the configuration and the log
	record  string // file to which the record is written
	trouble bool   // whether the disruption takes place
}

// verdict is the result of a case: the breaks of the rule that were seen.
type verdict struct{ breaks []string }

// broken adds a break of the rule.
func (v *verdict) broken(format string, args ...any) {
	v.breaks = append(v.breaks, fmt.Sprintf(format, args...))
}

// cases has the function that plays each case. It returns an error if the case could not run.
var cases = map[string]func(*stage) (verdict, error){
	"unsafe-repeat":    unsafeRepeat,
	"foreign-group":    foreignGroup,
	"purge-stall":      purgeAfterStall,
	"slow-journal":     slowJournal,
	"slow-writer":      slowWriter,
	"lease-lengthened": leaseLengthened,
	"lease-unchanged":  leaseUnchanged,
	"memory":           memoryOfUnadmitted,
}

func main() {
	runtime.LockOSThread() // the director gets a signal when the thread that started it ends
	var opts options
	name := flag.String("case", "", "name of the case")
	flag.StringVar(&opts.root, "root", ".", "root of the repository")
	flag.StringVar(&opts.scratch, "scratch", "", "empty folder for temporary files")
	flag.StringVar(&opts.record, "record", "", "file for the record")
	flag.BoolVar(&opts.trouble, "trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, known := cases[*name]
	if !known || opts.scratch == "" || opts.record == "" {
		fmt.Fprintln(os.Stderr, "standin: -case, -scratch and -record are needed, and the case must be known")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, opts))
}

// run plays a case and returns the exit code.
func run(play func(*stage) (verdict, error), opts options) int {
	log, err := newRecord(opts.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer log.close()
	log.add("begin %s, disruption: %v", time.Now().UTC().Format(time.RFC3339), opts.trouble)
	s := newStage(opts, log)
	defer s.close()
	result, err := play(s)
	if err == nil && len(result.breaks) == 0 && s.director != nil {
		err = s.director.stillRuns()
	}
	switch {
	case err != nil:
		log.say("NOT RUN: %v", err)
		return exitNotRun
	case len(result.breaks) > 0:
		for _, text := range result.breaks {
			log.say("BROKEN: %s", text)
		}
		log.say("verdict: broken, %d times", len(result.breaks))
		return exitBroken
	}
	log.say("verdict: held")
	return exitHeld
}
