package scale

import (
	"io"
	"net"
	"sync"
	"time"

	"curlewwalk/proof/fault"
)

// Delay is how long what two zones send each other is under way, one way.
type Delay struct {
	Between []string `toml:"between" comment:"two zones, or one twice"`
	OneWay  Duration `toml:"one-way"`
}

// strait stands on a core's address and holds up what passes between it and machines
// of other zones. It keeps order and loses nothing.
type strait struct {
	ln    net.Listener
	to    string
	delay func(from string) time.Duration

	mu    sync.Mutex
	conns map[net.Conn]bool // nil once it is closed
}

// held is how much may be on its way at a time, in pieces.
const held = 1024

func newStrait(at, to string, delay func(from string) time.Duration) (*strait, error) {
	ln, err := fault.Bind(at)
	if err != nil {
		return nil, err
	}
	s := &strait{ln: ln, to: to, delay: delay, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.carry(c)
		}
	}()
	return s, nil
}

// close refuses from now on, and breaks what is open.
func (s *strait) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// keep has close end a connection too; false if it came too late.
func (s *strait) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *strait) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Close()
	delete(s.conns, c)
}

func (s *strait) carry(near net.Conn) {
	if !s.keep(near) {
		return
	}
	defer s.drop(near)
	far, err := net.Dial("tcp", s.to)
	if err != nil || !s.keep(far) {
		return
	}
	defer s.drop(far)
	from, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	d := s.delay(from)
	done := make(chan bool, 2)
	go func() { pass(far, near, d); done <- true }()
	go func() { pass(near, far, d); done <- true }()
	<-done
}

// pass carries what comes from src on to dst, each piece so much later.
func pass(dst io.Writer, src io.Reader, d time.Duration) {
	type piece struct {
		b   []byte
		due time.Time
	}
	route := make(chan piece, held)
	go func() {
		defer close(route)
		for {
			b := make([]byte, 8<<10)
			n, err := src.Read(b)
			if n > 0 {
				route <- piece{b[:n], time.Now().Add(d)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range route {
		if left := time.Until(p.due); left > 0 && !broken {
			t := time.NewTimer(left)
			<-t.C
		}
		if !broken {
			_, err := dst.Write(p.b)
			broken = err != nil
		}
	}
}
