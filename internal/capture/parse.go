package capture

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrNoHeader is the error for a file that has no complete header.
var ErrNoHeader = errors.New("capture: no header: the file is not a capture or its start is lost")

// maxReportDelay is how much earlier than an earlier row a row may have ended without counting as out of order. Rows are not exactly in the
// order in which requests ended, because several goroutines report them.
const maxReportDelay = time.Second

// Parse parses the content of a file. It returns an error only if the header is missing or cannot be decoded. Any other part that is
// incomplete or damaged is excluded and counted in the report.
func Parse(content []byte) (*Capture, error) {
	p := &parser{capture: &Capture{}, rest: content}
	for len(p.rest) > 0 {
		if err := p.parseNext(); err != nil {
			return nil, err
		}
	}
	if !p.headerRead {
		return nil, ErrNoHeader
	}
	if !p.ended {
		p.report().exclude(reasonNoEnd, 1)
	}
	p.capture.excludeUnknown()
	p.capture.countOutOfOrder()
	p.capture.sortRows()
	return p.capture, nil
}

// parser parses a file frame by frame.
type parser struct {
	capture    *Capture
	rest       []byte    // the part of the file that is not parsed yet
	headerRead bool      // the header was read
	ended      bool      // the frame that ends the file was read
	next       uint32    // expected number of the next frame
	torn       tornFrame // the last damaged frame
}

// report returns the report of the capture.
func (p *parser) report() *Report { return &p.capture.Report }

// parseNext parses the frame at the start of rest, or skips bytes that are not a frame. Each call shortens rest.
func (p *parser) parseNext() error {
	if len(p.rest) < headSize || bytes.IndexByte(p.rest, magic[0]) < 0 {
		p.report().exclude(reasonTornBytes, len(p.rest))
		p.rest = nil
		return nil
	}
	if string(p.rest[:len(magic)]) != magic {
		p.skip(nextMagic(p.rest, 1))
		return nil
	}
	head := decodeHead(p.rest)
	if !head.plausible() {
		p.skip(len(magic))
		return nil
	}
	if len(p.rest) < headSize+head.size {
		p.skipOverlong(head)
		return nil
	}
	payload := p.rest[headSize : headSize+head.size]
	if checksum(p.rest, payload) != head.sum {
		p.skipDamaged(head, nextMagic(p.rest, len(magic)))
		return nil
	}
	p.rest = p.rest[headSize+head.size:]
	return p.accept(head, payload)
}

// skip excludes a number of bytes that are not a frame.
func (p *parser) skip(count int) {
	p.report().exclude(reasonNoFrame, count)
	p.rest = p.rest[count:]
}

// skipOverlong skips a frame whose stated size exceeds the rest of the file. If other frames follow, the frame is damaged; otherwise it is
// the torn tail of the file.
func (p *parser) skipOverlong(head frameHead) {
	if next := nextMagic(p.rest, len(magic)); next < len(p.rest) {
		p.skipDamaged(head, next)
		return
	}
	p.report().exclude(reasonTornRows, head.rows)
	p.rest = nil
}

// skipDamaged skips a damaged frame up to the offset of the next one. If the next frame starts within this one's head, the fields of the
// head are not reliable, so its rows are not counted.
func (p *parser) skipDamaged(head frameHead, next int) {
	if next < headSize {
		p.skip(next)
		return
	}
	p.report().exclude(reasonDamagedRows, head.rows)
	p.torn.add(head)
	p.rest = p.rest[next:]
}

// accept adds the content of a frame whose checksum is correct.
func (p *parser) accept(head frameHead, payload []byte) error {
	report := p.report()
	if head.version != version {
		report.exclude(reasonVersion(head.version), head.rows)
		return nil
	}
	report.Frames++
	if head.number != p.next {
		report.exclude(reasonOutOfOrder, 1)
	}
	p.next = head.number + 1
	switch head.kind {
	case kindHeader:
		if err := json.Unmarshal(payload, &p.capture.Header); err != nil {
			return fmt.Errorf("capture: header: %w", err)
		}
		p.headerRead = true
	case kindRows:
		p.acceptRows(head, payload)
	case kindEnd:
		p.ended = true
		report.Dropped += head.dropped
	}
	return nil
}

// acceptRows adds the rows of a frame, or none of them if one cannot be decoded.
func (p *parser) acceptRows(head frameHead, payload []byte) {
	rows, cpu, err := decodeRows(p.capture.Rows, payload, head.rows)
	if err != nil {
		p.report().exclude(reasonUnreadable, head.rows)
		return
	}
	p.capture.Rows = rows
	report := p.report()
	report.include(reasonDamagedRows, p.torn.takeReported(head))
	report.CPU += cpu
	report.Dropped += head.dropped
}

// tornFrame describes the last damaged frame. If a write fails within a frame and the torn part cannot be cut off, the writer writes the
// whole frame again after it. So one or more torn parts may precede the complete frame. Their rows are reported as excluded at first; that
// is undone when the complete frame is read, because its rows are not missing.
type tornFrame struct {
	number   uint32 // number of the frame
	rows     int    // number of rows in the frame
	reported int    // number of rows reported as excluded, for all torn parts together
}

// add records a damaged frame whose rows have been reported as excluded.
func (t *tornFrame) add(head frameHead) {
	if !t.matches(head) {
		*t = tornFrame{number: head.number, rows: head.rows}
	}
	t.reported += head.rows
}

// takeReported returns the number of rows that were reported as excluded for torn parts of a complete frame, and resets that number.
func (t *tornFrame) takeReported(head frameHead) int {
	if !t.matches(head) {
		return 0
	}
	reported := t.reported
	t.reported = 0
	return reported
}

// matches reports whether a head has the same frame number and number of rows as the torn frame.
func (t *tornFrame) matches(head frameHead) bool {
	return t.number == head.number && t.rows == head.rows
}

// excludeUnknown excludes rows whose request class or zone is not in the header.
func (c *Capture) excludeUnknown() {
	known := c.Rows[:0]
	for _, row := range c.Rows {
		switch {
		case row.Class < 0 || int(row.Class) >= len(c.Classes):
			c.Report.exclude(reasonUnknownClass, 1)
		case row.Zone < 0 || int(row.Zone) >= len(c.Zones):
			c.Report.exclude(reasonUnknownZone, 1)
		default:
			known = append(known, row)
		}
	}
	c.Rows = known
}

// countOutOfOrder counts the rows that ended more than maxReportDelay before an earlier row. Rows are written in the order in which
// requests end, so these are out of order.
func (c *Capture) countOutOfOrder() {
	last := time.Duration(0)
	for i := range c.Rows {
		ended := c.Rows[i].At + c.Rows[i].Complete
		if ended < last-maxReportDelay {
			c.Report.OutOfOrder++
		} else {
			last = max(last, ended)
		}
	}
}
