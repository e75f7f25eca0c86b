package replay

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

const blockRequests = 1000 // requests per block

// counts maps words to their numbers of occurrences.
type counts map[string]int

// text returns the words with their counts in alphabetical order.
func (c counts) text() string {
	var words []string
	for word, n := range c {
		words = append(words, fmt.Sprintf("%s=%d", strings.ReplaceAll(word, " ", "_"), n))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

func (c counts) add(other counts) {
	for word, n := range other {
		c[word] += n
	}
}

// record collects the calls and events of a run, block by block.
type record struct {
	blocks      []string // lines of the golden file for the completed blocks
	requests    int
	lines       bytes.Buffer // lines of the current block
	lineCount   int          // number of lines in the current block
	blockEvents counts       // events of the current block
	calls       counts       // calls made by the core in all blocks
	events      counts       // events of all completed blocks
	onBlockEnd  func(block int, line string, lines []byte)
}

func newRecord(ended func(block int, line string, lines []byte)) *record {
	return &record{blockEvents: counts{}, calls: counts{}, events: counts{}, onBlockEnd: ended}
}

// recordCall records one call made by the core.
func (r *record) recordCall(now time.Duration, kind, format string, args ...any) {
	fmt.Fprintf(&r.lines, "%d %s ", now, kind)
	fmt.Fprintf(&r.lines, format, args...)
	r.lines.WriteByte('\n')
	r.lineCount++
	r.calls[kind]++
}

// countOrder counts an attempt if it has the named property. Every run must show each expected property.
func (r *record) countOrder(name string, present bool) {
	if present {
		r.events["order "+name]++
	}
}

// countEvent counts an event of the simulation.
func (r *record) countEvent(name string) { r.blockEvents[name]++ }

// countRequest counts a request. It starts a new block after every blockRequests requests.
func (r *record) countRequest() {
	if r.requests > 0 && r.requests%blockRequests == 0 {
		r.endBlock()
	}
	r.requests++
}

// endBlock ends the current block.
func (r *record) endBlock() {
	line := fmt.Sprintf("block %d sha256=%x calls=%d %s", len(r.blocks), sha256.Sum256(r.lines.Bytes()), r.lineCount, r.blockEvents.text())
	r.onBlockEnd(len(r.blocks), line, r.lines.Bytes())
	r.blocks = append(r.blocks, line)
	r.events.add(r.blockEvents)
	r.blockEvents, r.lineCount = counts{}, 0
	r.lines.Reset()
}
