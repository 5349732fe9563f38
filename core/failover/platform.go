package failover

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// update is a conditional update of the record that is under way.
type update struct {
	record   *group.Record
	expected distribution.Version
	sentAt   time.Time
	// unknown says that the reply was lost and the record must be read back.
	unknown bool
}

// reading is the state of reads of the record.
type reading struct {
	wanted  bool
	sentAt  time.Time // zero if no read is open
	next    time.Time
	retries int
}

// propose starts the update of the record to the given one.
func (m *Machine) propose(record *group.Record, err error, cause string) {
	if err != nil {
		// The conditions were checked before; the status has changed since.
		return
	}
	m.emit(ChangeDecided{Record: record, Cause: cause})
	m.pending = &update{record: record, expected: m.version, sentAt: m.now}
	m.emit(UpdateRecord{Record: record, ExpectedVersion: m.version})
	m.wakeAt(m.now.Add(m.config.PlatformTimeout))
}

// settle reads the record when an update's outcome is unknown or when a server
// shows that the record is old.
func (m *Machine) settle() {
	if u := m.pending; u != nil && !u.unknown {
		deadline := u.sentAt.Add(m.config.PlatformTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
		} else {
			u.unknown = true
		}
	}
	if m.reading.wanted || (m.pending != nil && m.pending.unknown) {
		m.read()
	}
}

func (m *Machine) read() {
	r := &m.reading
	if !r.sentAt.IsZero() {
		deadline := r.sentAt.Add(m.config.PlatformTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		m.readFailed()
	}
	if m.now.Before(r.next) {
		m.wakeAt(r.next)
		return
	}
	r.sentAt = m.now
	m.emit(ReadRecord{})
	m.wakeAt(m.now.Add(m.config.PlatformTimeout))
}

func (m *Machine) readFailed() {
	r := &m.reading
	r.sentAt = time.Time{}
	r.next = m.now.Add(m.backoff(r.retries))
	r.retries++
	m.setPlatform(false)
}

func (m *Machine) setPlatform(available bool) {
	if m.platform == available {
		return
	}
	m.platform = available
	if available {
		m.emit(PlatformAvailable{})
	} else {
		m.emit(PlatformUnavailable{})
	}
}

func (m *Machine) recordRead(record *group.Record, version distribution.Version) {
	if version > m.version {
		m.reading = reading{}
		m.setPlatform(true)
	}
	if r := &m.reading; !r.sentAt.IsZero() {
		// Nothing new: a server that seems ahead of the record must not cause
		// a read at every answer.
		*r = reading{next: m.now.Add(m.backoff(r.retries)), retries: r.retries + 1}
		m.setPlatform(true)
	}
	u := m.pending
	if u == nil {
		if version > m.version {
			m.adopt(record, version, false)
		}
		return
	}
	switch {
	case version > u.expected:
		m.settled(record, version)
	case u.unknown && version == u.expected:
		// Not applied so far. If it still takes effect later, the watch
		// delivers it and a further update in its place is refused.
		m.pending = nil
	}
}

// settled ends the pending update with the record that came after it.
func (m *Machine) settled(record *group.Record, version distribution.Version) {
	id := m.pending.record.ChangeID
	m.pending = nil
	applied := record.HasChange(id)
	if !applied {
		m.emit(ChangeLost{ChangeID: id})
	}
	if version > m.version {
		m.adopt(record, version, applied && record.ChangeID == id)
	}
}

func (m *Machine) updateApplied(e UpdateApplied) {
	m.setPlatform(true)
	if m.pending != nil && m.pending.record.ChangeID == e.ChangeID {
		m.pending = nil
	}
	if e.Version > m.version {
		m.adopt(e.Record, e.Version, true)
	}
}

func (m *Machine) updateConflict(e UpdateConflict) {
	m.setPlatform(true)
	switch {
	case m.pending != nil && e.Version > m.pending.expected:
		m.settled(e.Record, e.Version)
	case e.Version > m.version:
		m.adopt(e.Record, e.Version, false)
	}
}

func (m *Machine) updateUnknown(e UpdateUnknown) {
	if m.pending != nil && m.pending.record.ChangeID == e.ChangeID {
		m.pending.unknown = true
		m.reading.next = m.now
		m.setPlatform(false)
	}
}

// backoff is the delay before the next attempt after n failed ones.
func (m *Machine) backoff(n int) time.Duration {
	const maxDoublings = 10
	return min(m.config.RetryBackoff<<min(n, maxDoublings), m.config.MaxRetryBackoff)
}
