package failover

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// update is a conditional update of the record that is in flight.
type update struct {
	record          *group.Record
	expectedVersion distribution.Version
	sentAt          time.Time
	// outcomeUnknown says that no reply arrived, so the record must be read to
	// find out whether the update took effect.
	outcomeUnknown bool
}

// readState is the state of reads of the record from the platform.
type readState struct {
	needed      bool
	sentAt      time.Time // zero if no read is in flight
	nextAttempt time.Time
	retries     int
}

// proposeUpdate starts the conditional update of the record to the given one.
func (m *Machine) proposeUpdate(record *group.Record, err error, cause string) {
	if err != nil {
		// The preconditions were checked before, but the status has changed
		// since.
		return
	}
	m.emit(ChangeDecided{Record: record, Cause: cause})
	m.pendingUpdate = &update{record: record, expectedVersion: m.version, sentAt: m.now}
	m.emit(UpdateRecord{Record: record, ExpectedVersion: m.version})
	m.wakeAt(m.now.Add(m.config.PlatformTimeout))
}

// resolveUpdate reads the record if the outcome of an update is unknown or a
// server has shown that the machine's record is stale.
func (m *Machine) resolveUpdate() {
	if u := m.pendingUpdate; u != nil && !u.outcomeUnknown {
		deadline := u.sentAt.Add(m.config.PlatformTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
		} else {
			u.outcomeUnknown = true
		}
	}
	if m.readState.needed || (m.pendingUpdate != nil && m.pendingUpdate.outcomeUnknown) {
		m.readRecord()
	}
}

func (m *Machine) readRecord() {
	r := &m.readState
	if !r.sentAt.IsZero() {
		deadline := r.sentAt.Add(m.config.PlatformTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		m.readFailed()
	}
	if m.now.Before(r.nextAttempt) {
		m.wakeAt(r.nextAttempt)
		return
	}
	r.sentAt = m.now
	m.emit(ReadRecord{})
	m.wakeAt(m.now.Add(m.config.PlatformTimeout))
}

func (m *Machine) readFailed() {
	r := &m.readState
	r.sentAt = time.Time{}
	r.nextAttempt = m.now.Add(m.backoff(r.retries))
	r.retries++
	m.setPlatformAvailable(false)
}

func (m *Machine) setPlatformAvailable(available bool) {
	if m.platformAvailable == available {
		return
	}
	m.platformAvailable = available
	if available {
		m.emit(PlatformAvailable{})
	} else {
		m.emit(PlatformUnavailable{})
	}
}

func (m *Machine) recordChanged(record *group.Record, version distribution.Version) {
	if version > m.version {
		m.readState = readState{}
		m.setPlatformAvailable(true)
	}
	if r := &m.readState; !r.sentAt.IsZero() {
		// The version is not new. Back off, so that a server that seems ahead
		// of the record does not cause a read at every answer.
		*r = readState{nextAttempt: m.now.Add(m.backoff(r.retries)), retries: r.retries + 1}
		m.setPlatformAvailable(true)
	}
	u := m.pendingUpdate
	if u == nil {
		if version > m.version {
			m.adopt(record, version, false)
		}
		return
	}
	switch {
	case version > u.expectedVersion:
		m.updateResolved(record, version)
	case u.outcomeUnknown && version == u.expectedVersion:
		// Not applied so far. If it takes effect later, the watch delivers it,
		// and any update proposed in the meantime is rejected as a conflict.
		m.pendingUpdate = nil
	}
}

// updateResolved ends the pending update after a later version of the record
// has shown its outcome.
func (m *Machine) updateResolved(record *group.Record, version distribution.Version) {
	id := m.pendingUpdate.record.ChangeID
	m.pendingUpdate = nil
	applied := record.HasChange(id)
	if !applied {
		m.emit(ChangeLost{ChangeID: id})
	}
	if version > m.version {
		m.adopt(record, version, applied && record.ChangeID == id)
	}
}

func (m *Machine) updateApplied(e UpdateApplied) {
	m.setPlatformAvailable(true)
	if m.pendingUpdate != nil && m.pendingUpdate.record.ChangeID == e.ChangeID {
		m.pendingUpdate = nil
	}
	if e.Version > m.version {
		m.adopt(e.Record, e.Version, true)
	}
}

func (m *Machine) updateConflict(e UpdateConflict) {
	m.setPlatformAvailable(true)
	switch {
	case m.pendingUpdate != nil && e.Version > m.pendingUpdate.expectedVersion:
		m.updateResolved(e.Record, e.Version)
	case e.Version > m.version:
		m.adopt(e.Record, e.Version, false)
	}
}

func (m *Machine) updateUnknown(e UpdateUnknown) {
	if m.pendingUpdate != nil && m.pendingUpdate.record.ChangeID == e.ChangeID {
		m.pendingUpdate.outcomeUnknown = true
		m.readState.nextAttempt = m.now
		m.setPlatformAvailable(false)
	}
}

// backoff returns the pause before the next attempt after n failed ones.
func (m *Machine) backoff(n int) time.Duration {
	const maxDoublings = 10
	return min(m.config.RetryBackoff<<min(n, maxDoublings), m.config.MaxRetryBackoff)
}
