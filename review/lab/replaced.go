package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

const (
	// hostCount is the number of hosts of the small deployment, in three zones.
	hostCount = 7
	// replacements is the number of machines that are removed for good, one after the
	// other, each after a new one has come at another address.
	replacements = 70
	// recoverTime is bounds.recoveryS.
	recoverTime = 12 * time.Second
	// requestsBefore, requestsLate and requestsAfter are the writes that are sent before
	// the replacements, after them, and after the final fault.
	requestsBefore, requestsLate, requestsAfter = 60, 28, 60
	requestInterval                             = 250 * time.Millisecond
)

// replaced replaces machines one after the other, then kills all processes of the system
// and starts them again. Later than recoverTime after that, at least a quarter of the
// requests must be served.
func replaced(l *lab) (broken bool, err error) {
	p, err := newPlatform()
	if err != nil {
		return false, err
	}
	if _, err := newService(l, p, "huvo11a", "i-9e16b79e8c", "i-5840f93bc3", "i-e2e9145aec"); err != nil {
		return false, err
	}
	p.put("config", "main", config())
	zones := []string{"gent-a", "namur-a", "brussel-a"}
	var current []*entryHost
	for i := range hostCount {
		h, err := l.startHost(hostName(zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], p)
		if err != nil {
			return false, err
		}
		current = append(current, h)
	}
	if err := awaitService(l, current[0]); err != nil {
		return false, err
	}
	before := l.sendWrites("before", current, requestsBefore)
	if l.trouble {
		for i := range replacements {
			old := current[0]
			h, err := l.replace(p, old, hostName(old.zone, hostCount+i))
			if err != nil {
				return false, err
			}
			current = append(current[1:], h)
		}
	}
	late := l.sendWrites("late", current, requestsLate)
	l.logf("final fault: all processes are killed")
	for _, h := range current {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, h := range current {
		if err := l.spawn(h); err != nil {
			return false, err
		}
	}
	for _, h := range current {
		if err := l.awaitReady(h); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime)
	after := l.sendWrites("after", current, requestsAfter)
	l.logf("served before the replacements %d of %d, after them %d of %d, later than %v after the final fault %d of %d",
		before, requestsBefore, late, requestsLate, recoverTime, after, requestsAfter)
	broken = 4*(before+late) >= requestsBefore+requestsLate && 4*after < requestsAfter
	if broken {
		l.logf("RECOVER: less than a quarter is served")
	}
	return broken, nil
}

func hostName(zone string, number int) string { return fmt.Sprintf("edge-%s-%d", zone, number) }

// replace starts a new machine and removes an old one for good: nothing answers at its
// address any more.
func (l *lab) replace(p *platform, old *entryHost, name string) (*entryHost, error) {
	h, err := l.startHost(name, old.zone, p)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(5 * time.Second); !p.has("hosts", name); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			// Without an entry it is no candidate for the other hosts.
			break
		}
	}
	old.kill()
	l.logf("%s is removed for good", old.name)
	return h, silence(old.internal)
}

// has reports whether an object exists.
func (p *platform) has(kind, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.objects[kind][name]
	return ok
}

// silence makes a loopback address answer nothing: its queue of new connections is full,
// so that further ones hang as towards a machine without power.
func silence(address string) error {
	target, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	socketAddress := &syscall.SockaddrInet4{Port: target.Port, Addr: [4]byte(target.IP.To4())}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, socketAddress); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 3 {
		// The queue is full once a connection hangs.
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return nil
		}
		filled = append(filled, conn)
	}
	return nil
}

// filled holds the connections that fill the queues of silent addresses.
var filled []net.Conn

// sendWrites sends single writes by turns to the hosts, each in a session of its own, and
// returns how many were served.
func (l *lab) sendWrites(phase string, hosts []*entryHost, n int) (served int) {
	results := make(chan bool, n)
	for i := range n {
		go func() { results <- l.writeOnce(hosts[i%len(hosts)], fmt.Sprintf("%s.%d", phase, i)) }()
		time.Sleep(requestInterval)
	}
	for range n {
		if <-results {
			served++
		}
	}
	return served
}

func (l *lab) writeOnce(h *entryHost, id string) bool {
	c, err := l.connect(h, "lepu270")
	if err != nil {
		l.logf("client has no session  %s %v", id, err)
		return false
	}
	defer c.close()
	answer, err := c.query(id, "WRITE 1a4 "+id)
	return err == nil && strings.HasPrefix(answer[0], "COMPLETE 7.")
}
