package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// array returns an array of bulk strings.
func array(values ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(values))
	for _, value := range values {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(value), value)
	}
	return text
}

// readResponse reads a response through a buffer that is shorter than most responses.
func readResponse(text string) (Response, error) {
	return ReadResponse(bufio.NewReaderSize(strings.NewReader(text), 32), nil)
}

// TestReadResponse checks that fields are read with any body, and that unknown fields are ignored.
func TestReadResponse(t *testing.T) {
	readsAsWritten := func(body []byte, waited uint16) bool {
		fields := fmt.Sprintf("note=fetched_root,slow=%d,t0=1764576000123,load=util:0.6;x1:2,new=1", waited)
		response, err := readResponse(array("9b1f", "HIT", fields, string(body)))
		want := Response{
			ID:      "9b1f",
			Status:  Hit,
			Fill:    routing.FilledByOrigin,
			Waited:  time.Duration(waited) * time.Millisecond,
			Fetched: 1764576000123,
			Body:    append([]byte{}, body...),
		}
		return err == nil && reflect.DeepEqual(response, want)
	}
	if err := quick.Check(readsAsWritten, &quick.Config{Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	response, err := readResponse(array("1", "NONE", "-", ""))
	if err != nil || response.Status != Miss || response.Fill != routing.FillUnknown {
		t.Errorf("got %+v, error %v, want a miss with an unknown cache status", response, err)
	}
}

// TestReadDropsBodiesNotAdmitted checks that the admission of a body is decided by the id, the status and the length, that it is not
// asked for an empty body, and that the response behind a body that was not admitted is read correctly.
func TestReadDropsBodiesNotAdmitted(t *testing.T) {
	stream := array("1", "HIT", "-", "first body") + array("2", "FAULT", "-", "second") + array("3", "HIT", "-", "") + array("4", "HIT", "-", "last")
	in := bufio.NewReaderSize(strings.NewReader(stream), 32)
	var asked []string
	admit := func(id string, status Status, length int) bool {
		asked = append(asked, fmt.Sprintf("%s %d %d", id, status, length))
		return id == "4"
	}
	for _, want := range []Response{
		{ID: "1", Status: Hit, BodyDropped: true},
		{ID: "2", Status: Failed, BodyDropped: true},
		{ID: "3", Status: Hit, Body: []byte{}},
		{ID: "4", Status: Hit, Body: []byte("last")},
	} {
		if got, err := ReadResponse(in, admit); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, error %v, want %+v", got, err, want)
		}
	}
	if want := []string{"1 0 10", "2 4 6", "4 0 4"}; !reflect.DeepEqual(asked, want) {
		t.Errorf("admission was asked for %q, want %q", asked, want)
	}
}

// TestReadTruncatedDroppedBody checks that a stream that ends within a body that was not admitted gives io.ErrUnexpectedEOF, and that
// anything but a line's end behind such a body is malformed.
func TestReadTruncatedDroppedBody(t *testing.T) {
	complete := array("9b1f", "HIT", "-", "body")
	for length := 1; length < len(complete); length++ {
		if _, err := ReadResponse(bufio.NewReader(strings.NewReader(complete[:length])), DropBodies); err != io.ErrUnexpectedEOF {
			t.Errorf("truncated at %d: got %v, want %v", length, err, io.ErrUnexpectedEOF)
		}
	}
	malformed := strings.TrimSuffix(complete, "\r\n") + "xx"
	if _, err := ReadResponse(bufio.NewReader(strings.NewReader(malformed)), DropBodies); !errors.Is(err, ErrMalformed) {
		t.Errorf("no line's end: got %v, want %v", err, ErrMalformed)
	}
}

// TestRequestPartsMatchAppendRequest checks that the parts of a request are the bytes that AppendRequest appends, and that the body is
// not copied.
func TestRequestPartsMatchAppendRequest(t *testing.T) {
	for _, body := range []string{"", "a body"} {
		request := Request{ID: "9b", Class: "v", Object: "7f", Timeout: time.Second, Body: []byte(body)}
		parts := RequestParts(&request)
		var joined []byte
		for _, part := range parts {
			joined = append(joined, part...)
		}
		if want := AppendRequest(nil, &request); string(joined) != string(want) {
			t.Errorf("got %q, want %q", joined, want)
		}
		if body != "" && &parts[1][0] != &request.Body[0] {
			t.Error("the body was copied")
		}
	}
}

// TestReadTruncatedResponse checks that a stream that ends within a response gives io.ErrUnexpectedEOF, and an empty one io.EOF.
func TestReadTruncatedResponse(t *testing.T) {
	complete := array("9b1f", "HIT", "note=cached", "body")
	for length := range complete {
		want := io.ErrUnexpectedEOF
		if length == 0 {
			want = io.EOF
		}
		if _, err := readResponse(complete[:length]); err != want {
			t.Errorf("truncated at %d: got %v, want %v", length, err, want)
		}
	}
}

// TestReadMalformedResponse checks that responses that violate the protocol are errors. A length over its limit must be rejected
// before that much memory is allocated.
func TestReadMalformedResponse(t *testing.T) {
	cases := []struct {
		name  string
		in    string
		limit int // limit that a length exceeds; 0: the response is malformed
	}{
		{"five bulk strings", "*5\r\n", responseWords},
		{"three bulk strings", "*3\r\n", 0},
		{"negative count", "*-1\r\n", 0},
		{"not an array", "$1\r\n", 0},
		{"no carriage return", "*4\n", 0},
		{"id of 100 MB", "*4\r\n$99999999\r\n", maxID},
		{"id of negative length", "*4\r\n$-1\r\n", 0},
		{"simple string", "+OK\r\n", 0},
		{"unknown status", array("1", "HITS", "-", ""), 0},
		{"field without a value", array("1", "HIT", "note", ""), 0},
		{"duration that is not a number", array("1", "HIT", "slow=x", ""), 0},
		{"negative duration", array("1", "HIT", "slow=-1", ""), 0},
		{"duration of NaN", array("1", "HIT", "slow=NaN", ""), 0},
		{"duration of eleven days", array("1", "HIT", "slow=1e9", ""), 0},
		{"time that is not a number", array("1", "HIT", "t0=x", ""), 0},
		{"line without an end", strings.Repeat("*", 99), 0},
		{"body longer than its length", "*4\r\n$1\r\n1\r\n$3\r\nHIT\r\n$1\r\n-\r\n$2\r\nbody\r\n", 0},
		{"id over the limit", array(strings.Repeat("1", 65), "HIT", "-", ""), maxID},
		{"body over the limit", "*4\r\n$1\r\n1\r\n$3\r\nHIT\r\n$1\r\n-\r\n$300000\r\n", maxBody},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response, err := readResponse(test.in)
			var limit *LimitError
			switch {
			case test.limit == 0 && !errors.Is(err, ErrMalformed):
				t.Errorf("got %+v, error %v, want ErrMalformed", response, err)
			case test.limit > 0 && (!errors.As(err, &limit) || limit.Limit != test.limit):
				t.Errorf("got %+v, error %v, want a *LimitError with limit %d", response, err, test.limit)
			}
		})
	}
}

// TestCommandRoundTrip checks that each command is encoded as in the protocol, and that reading it gives the same command.
func TestCommandRoundTrip(t *testing.T) {
	cases := []struct {
		name    string
		command Command
		want    []string
	}{
		{"request", Command{Request: Request{ID: "9b", Class: "segment", Object: "7f", Part: "3", Timeout: 1500 * time.Millisecond}},
			[]string{"GET", "9b", "c=segment,k=7f,p=3,w=1500", ""}},
		{"all fields", Command{Request: Request{ID: "9b", Class: "v", Object: "7f", Part: "0", Timeout: time.Millisecond, IdempotencyKey: "5c", ETag: "4b",
			Source: "s-00000001", Body: []byte("\r\n"),
			Order: routing.AttemptOrder{CachePriority: 2, MaxAge: time.Millisecond, OnlyIfCached: true, Revalidate: true}}},
			[]string{"GET", "9b", "c=v,k=7f,p=0,w=1,i=5c,next=s-00000001,admit=2,agelim=1,ways=only-if-cached+refresh,cached=4b",
				"\r\n"}},
		{"one option", Command{Request: Request{ID: "1", Class: "v", Object: "7f", Timeout: time.Second, Order: routing.AttemptOrder{Revalidate: true}}},
			[]string{"GET", "1", "c=v,k=7f,w=1000,ways=refresh", ""}},
		{"cancel", Command{Request: Request{ID: "9b"}, Cancel: true}, []string{"DROP", "9b"}},
		{"health check", Command{Request: Request{ID: "p1"}, HealthCheck: true}, []string{"PING", "p1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := string(encode(&test.command))
			if want := array(test.want...); got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
			read, err := ReadCommand(bufio.NewReader(strings.NewReader(got)))
			want := test.command
			if isRequest := !want.Cancel && !want.HealthCheck; isRequest && want.Body == nil {
				want.Body = []byte{}
			}
			if err != nil || !reflect.DeepEqual(read, want) {
				t.Errorf("read back: got %+v, error %v, want %+v", read, err, want)
			}
		})
	}
}

// encode returns the bytes of a command of any kind.
func encode(command *Command) []byte {
	switch {
	case command.Cancel:
		return AppendCancel(nil, command.ID)
	case command.HealthCheck:
		return AppendHealthCheck(nil, command.ID)
	}
	return AppendRequest(nil, &command.Request)
}

// TestAppendRequestWithShortDurations checks that a duration below a millisecond is written as 1, since 0 would mean no limit.
func TestAppendRequestWithShortDurations(t *testing.T) {
	request := Request{ID: "9b", Class: "v", Object: "7f", Timeout: time.Microsecond, Order: routing.AttemptOrder{MaxAge: time.Microsecond}}
	if got, want := string(AppendRequest(nil, &request)), array("GET", "9b", "c=v,k=7f,w=1,agelim=1", ""); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestReadMalformedCommand checks that commands that violate the protocol are errors.
func TestReadMalformedCommand(t *testing.T) {
	cases := []struct{ name, in string }{
		{"empty array", "*0\r\n"},
		{"unknown command", array("PUT", "1")},
		{"request without fields", array("GET", "1")},
		{"cancel without an id", array("DROP")},
		{"field without a value", array("GET", "1", "c", "")},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if command, err := ReadCommand(bufio.NewReader(strings.NewReader(test.in))); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %+v, error %v, want ErrMalformed", command, err)
			}
		})
	}
}
