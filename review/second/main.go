// Command second plays one case of the second review: it starts the director as a separate process, with stand-ins for clients,
// cache nodes and the journal service on loopback addresses, and checks one rule from outside.
//
//	second CASE FOLDER
//
// FOLDER gets record.txt. With TROUBLE=0 in the environment the case plays without its disruption. The exit code is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// cases has the function of each case by name. A function returns how the rule was broken, one line for each instance of it, and
// an error if the case could not be played as it describes.
var cases = map[string]func(*stage) (broken []string, err error){
	"crowded-journal": crowdedJournal,
	"flood":           floodedDirector,
	"hidden-group":    hiddenGroup,
	"bad-clients":     badClients,
	"slow-writer":     slowWriter,
}

// longestCase is the time after which a case ends without a result.
const longestCase = 110 * time.Second

// maxPrinted is the number of instances of a broken rule that are printed; all are in the record.
const maxPrinted = 5

func main() {
	if len(os.Args) == 4 && os.Args[1] == floodCommand {
		os.Exit(flood(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	record, err := createRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer record.close()
	s := newStage(record, os.Getenv("TROUBLE") != "0")
	defer s.close()
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() { // all processes that the case started end with it
		select {
		case <-told:
		case <-time.After(longestCase):
		}
		s.close()
		record.close()
		os.Exit(couldNotRun)
	}()
	record.line("case %s, disruption %t", name, s.trouble)
	broken, err := cases[name](s)
	if err == nil {
		err = s.director.failure()
	}
	for _, instance := range broken {
		record.line("BROKEN %s", instance)
	}
	if len(broken) > 0 {
		record.line("the rule was broken %d times", len(broken))
		fmt.Printf("the rule was broken %d times\n%s\n", len(broken), strings.Join(slices.Clone(broken[:min(len(broken), maxPrinted)]), "\n"))
		return ruleBroken
	}
	if err != nil {
		record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNotRun
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
