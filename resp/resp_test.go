package resp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"indigochute.example/indigochute/control"
)

func write(words ...string) string {
	b := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		b += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func answer(s string) (Answer, error) { return Read(bufio.NewReaderSize(strings.NewReader(s), 32)) }

func TestAnswers(t *testing.T) {
	same := func(body []byte, waited uint16) bool {
		a, err := answer(write("9b1f", "HIT", fmt.Sprintf("note=fetched_root,slow=%d,t0=1764576000123,load=util:0.6;x1:2,new=1",
			waited), string(body)))
		return err == nil && a.ID == "9b1f" && a.Word == Hit && a.Fill == control.FilledByOrigin &&
			a.Waited == time.Duration(waited)*time.Millisecond && a.Born == 1764576000123 && bytes.Equal(a.Body, body)
	}
	if err := quick.Check(same, &quick.Config{Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	if a, err := answer(write("1", "NONE", "-", "")); err != nil || a.Word != None || a.Fill != control.Untold {
		t.Errorf("%+v %v", a, err)
	}
}

func TestCutAnywhere(t *testing.T) {
	whole := write("9b1f", "HIT", "note=cached", "body")
	for n := range whole {
		if _, err := answer(whole[:n]); n == 0 && err != io.EOF || n > 0 && err != io.ErrUnexpectedEOF {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
}

func TestHostile(t *testing.T) {
	for _, s := range []string{"*5\r\n", "*-1\r\n", "$1\r\n", "*4\n", "*4\r\n$99999999\r\n", "*4\r\n$-1\r\n", "+OK\r\n",
		write("1", "HITS", "-", ""), write("1", "HIT", "note", ""), write("1", "HIT", "slow=x", ""),
		write("1", "HIT", "t0=x", ""), write("1", "HIT", "slow=-1", ""), strings.Repeat("*", 99),
		"*4\r\n$1\r\n1\r\n$3\r\nHIT\r\n$1\r\n-\r\n$2\r\nbody\r\n", write(strings.Repeat("1", 65), "HIT", "-", ""),
		"*4\r\n$1\r\n1\r\n$3\r\nHIT\r\n$1\r\n-\r\n$300000\r\n"} {
		if a, err := answer(s); err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
			t.Errorf("%.30q: %+v %v", s, a, err)
		}
	}
}

func TestAsks(t *testing.T) {
	for _, c := range []struct {
		a    Ask
		want []string
	}{
		{Ask{ID: "9b", Vhost: "segment", Obj: "7f", Part: "3", Wait: 1500 * time.Millisecond},
			[]string{"GET", "9b", "c=segment,k=7f,p=3,w=1500", ""}},
		{Ask{ID: "9b", Vhost: "v", Obj: "7f", Part: "0", Wait: time.Microsecond, Idem: "5c", Have: "4b", Source: "s-00000001",
			Body:  []byte("\r\n"),
			Order: control.Order{Rank: 2, Age: time.Microsecond, HeldOnly: true, Renew: true}},
			[]string{"GET", "9b", "c=v,k=7f,p=0,w=1,i=5c,next=s-00000001,admit=2,agelim=1,ways=only-if-cached+refresh,cached=4b",
				"\r\n"}},
		{Ask{ID: "1", Vhost: "v", Obj: "7f", Wait: time.Second, Order: control.Order{Renew: true}},
			[]string{"GET", "1", "c=v,k=7f,w=1000,ways=refresh", ""}},
	} {
		if got := string(AppendAsk(nil, &c.a)); got != write(c.want...) {
			t.Errorf("%q, want %q", got, write(c.want...))
		}
	}
	if got := string(AppendDrop(nil, "9b")); got != write("DROP", "9b") {
		t.Errorf("%q", got)
	}
}
