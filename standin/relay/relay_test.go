package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// echo answers each line with itself.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func through(t *testing.T, r *Relay) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func ask(t *testing.T, c net.Conn, in *bufio.Reader, text string) {
	t.Helper()
	fmt.Fprintln(c, text)
	if got, err := in.ReadString('\n'); err != nil || got != text+"\n" {
		t.Fatalf("answer %q, %v", got, err)
	}
}

// wantReset wants a new connection to be reset: while it is made, or before it brings a byte.
func wantReset(t *testing.T, r *Relay) {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("a connection that was not reset: %v", err)
	}
}

func newRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := New(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func TestFrozenBytesPassLaterInOrder(t *testing.T) {
	for name, freeze := range map[string]func(*State){
		"both ways": func(s *State) { s.Frozen = true },
		"answers":   func(s *State) { s.AnswersFrozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t)
			c, in := through(t, r)
			ask(t, c, in, "before")
			r.Turn(freeze)
			fmt.Fprintln(c, "held")
			answered := make(chan string)
			go func() {
				line, _ := in.ReadString('\n') // an empty line fails the test below
				answered <- line
			}()
			select {
			case line := <-answered:
				t.Fatalf("%q passed a frozen link", line)
			case <-time.After(50 * time.Millisecond):
			}
			r.Turn(func(s *State) { *s = State{} })
			if line := <-answered; line != "held\n" {
				t.Errorf("after the thaw %q", line)
			}
			ask(t, c, in, "after")
		})
	}
}

func TestADeadLinkResets(t *testing.T) {
	r := newRelay(t)
	c, in := through(t, r)
	ask(t, c, in, "before")
	r.Turn(func(s *State) { s.Dead = true })
	if _, err := in.ReadByte(); err == nil {
		t.Error("a byte from a dead link")
	}
	wantReset(t, r)
	r.Turn(func(s *State) { s.Dead = false })
	c, in = through(t, r)
	ask(t, c, in, "revived")
}

func TestAnEndInOrderComesBehindTheBytes(t *testing.T) {
	r := newRelay(t)
	r.Turn(func(s *State) { s.Delay = 10 * time.Millisecond })
	c, in := through(t, r)
	fmt.Fprint(c, "last words")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(in); err != nil || string(text) != "last words" {
		t.Errorf("%q, %v", text, err)
	}
}

func TestARelayToNowhereResets(t *testing.T) {
	r, err := New("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	wantReset(t, r)
}
