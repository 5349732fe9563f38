// Package logevent owns the catalogue of numbered log events and the logger that
// writes them. The number identifies an event across releases; its message may
// change. docs/log-events.md lists the catalogue.
package logevent

import (
	"context"
	"log/slog"
	"sync"

	"golang.org/x/time/rate"
)

// Number identifies a log event in the catalogue.
type Number int

// Numbers of the events. Numbers are never reused.
const (
	HostStarted           Number = 1001
	HostStopping          Number = 1002
	HostStopped           Number = 1003
	ListenerFailed        Number = 1004
	SettingsReloaded      Number = 1005
	DrainIncomplete       Number = 1006
	PlatformUnavailable   Number = 2001
	PlatformAvailable     Number = 2002
	ObjectInvalid         Number = 2003
	ConfigurationApplied  Number = 2004
	ConfigurationStale    Number = 2005
	HostListChanged       Number = 2006
	StoreRestored         Number = 2007
	ObjectIgnored         Number = 2008
	ObjectWrittenAgain    Number = 2009
	HostSuspected         Number = 2010
	HostRemoved           Number = 2011
	AccountChanged        Number = 2012
	PrimarySuspected      Number = 3001
	SuspicionWithdrawn    Number = 3002
	ChangeDecided         Number = 3003
	ChangeCompleted       Number = 3004
	ChangeRefused         Number = 3005
	NoEligibleSuccessor   Number = 3006
	CommandFailed         Number = 3007
	SuccessorChange       Number = 3008
	PrimaryLost           Number = 3009
	PrimaryFound          Number = 3010
	ChangeStep            Number = 3011
	ReplicaSuspended      Number = 3012
	CallerRefused         Number = 4001
	OutcomeUnknown        Number = 4002
	ConnectionLost        Number = 4003
	RequestNotRun         Number = 4004
	RequestRetried        Number = 4006
	RequestServed         Number = 4007
	SessionFailed         Number = 4008
	ClientLimited         Number = 4015
	ClientClosed          Number = 4016
	ConnectionLimitHit    Number = 4005
	KeyRefused            Number = 4009
	AccountLimitChanged   Number = 4021
	AccountOverLimit      Number = 4022
	HolderChanged         Number = 4023
	PeerUnreachable       Number = 5001
	BackendServerLeaving  Number = 5002
	BackendServerGone     Number = 5005
	BackendServerChanged  Number = 5006
	ServerDetour          Number = 5007
	GatewayAvoided        Number = 5008
	RelayAvoided          Number = 5009
	ProtocolError         Number = 5003
	AuthenticationFailure Number = 5004
)

// Entry describes a log event in the catalogue.
type Entry struct {
	Number  Number
	Name    string
	Level   slog.Level
	Message string
	// Action tells operators what to do.
	Action string
}

// Catalogue returns the descriptions of all events in the order of their numbers.
func Catalogue() []Entry { return catalogue }

var catalogue = []Entry{
	{HostStarted, "HostStarted", slog.LevelInfo, "host started", "None."},
	{HostStopping, "HostStopping", slog.LevelInfo, "host stopping, draining callers", "None."},
	{HostStopped, "HostStopped", slog.LevelInfo, "host stopped", "None."},
	{ListenerFailed, "ListenerFailed", slog.LevelError, "listener failed", "Check that the address in the settings is free and belongs to the host."},
	{SettingsReloaded, "SettingsReloaded", slog.LevelInfo, "settings reloaded", "None."},
	{DrainIncomplete, "DrainIncomplete", slog.LevelWarn, "callers still connected at the end of the grace time", "Check what the remaining callers wait for; their statements are cut."},
	{PlatformUnavailable, "PlatformUnavailable", slog.LevelWarn, "platform unavailable", "Restore the platform. Traffic continues; no change of primary and no new configuration is possible meanwhile."},
	{PlatformAvailable, "PlatformAvailable", slog.LevelInfo, "platform available", "None."},
	{ObjectInvalid, "ObjectInvalid", slog.LevelError, "platform object cannot be decoded", "Inspect the object; the host keeps the last valid version. The entry of a server that is not valid names no server."},
	{ConfigurationApplied, "ConfigurationApplied", slog.LevelInfo, "configuration applied", "None."},
	{ConfigurationStale, "ConfigurationStale", slog.LevelWarn, "no contact with the platform or a relay within the promised time", "Check the links of the host; it serves its last configuration."},
	{HostListChanged, "HostListChanged", slog.LevelInfo, "host list changed", "None."},
	{StoreRestored, "StoreRestored", slog.LevelWarn, "platform's store was restored from a copy", "Expect changes of the last seconds to be written again; compare the era and the configuration version of all hosts."},
	{ObjectIgnored, "ObjectIgnored", slog.LevelWarn, "object ignored, because a newer version is known", "None for a late answer. If it repeats, compare the era and the revision with the store's."},
	{ObjectWrittenAgain, "ObjectWrittenAgain", slog.LevelWarn, "object written again that the platform had lost", "None; Changed says that another host or operator was first."},
	{HostSuspected, "HostSuspected", slog.LevelInfo, "entry of an unreachable host marked", "None if the machine is gone. If it runs, check the network between the two hosts; it registers again."},
	{HostRemoved, "HostRemoved", slog.LevelInfo, "entry of an unreachable host removed", "None. A host that comes back registers again."},
	{AccountChanged, "AccountChanged", slog.LevelInfo, "client account added, removed or with other limits", "None."},
	{PrimarySuspected, "PrimarySuspected", slog.LevelWarn, "primary suspected", "None unless it repeats without a change; then check the links to the primary."},
	{SuspicionWithdrawn, "SuspicionWithdrawn", slog.LevelInfo, "suspicion withdrawn", "None."},
	{ChangeDecided, "ChangeDecided", slog.LevelWarn, "change of primary decided", "None; find out why the old primary was lost."},
	{ChangeCompleted, "ChangeCompleted", slog.LevelInfo, "change of primary completed", "None."},
	{ChangeRefused, "ChangeRefused", slog.LevelInfo, "record update lost to another host", "None."},
	{NoEligibleSuccessor, "NoEligibleSuccessor", slog.LevelError, "no server is eligible as primary", "Bring the primary or the successor back. Never promote another server by hand: it may lack acknowledged writes."},
	{CommandFailed, "CommandFailed", slog.LevelWarn, "command to a backend server failed", "None unless it repeats; then check the backend server."},
	{SuccessorChange, "SuccessorChange", slog.LevelInfo, "change of successor", "None."},
	{PrimaryLost, "PrimaryLost", slog.LevelWarn, "primary no longer believed to lead", "None; a search for another one follows."},
	{PrimaryFound, "PrimaryFound", slog.LevelInfo, "primary proven to lead", "None."},
	{ChangeStep, "ChangeStep", slog.LevelInfo, "step of a change of primary", "None."},
	{ReplicaSuspended, "ReplicaSuspended", slog.LevelWarn, "replica found suspended by an unfinished change", "None if ChangeCompleted with cause suspended follows; else check the store and the platform's orders."},
	{CallerRefused, "CallerRefused", slog.LevelWarn, "caller refused", "Check the account's template if the caller is legitimate."},
	{OutcomeUnknown, "OutcomeUnknown", slog.LevelWarn, "outcome of a write is unknown", "Callers retry with the same request key; check replication to the successor when frequent."},
	{ConnectionLost, "ConnectionLost", slog.LevelWarn, "connection to a backend server lost", "None."},
	{RequestNotRun, "RequestNotRun", slog.LevelWarn, "request refused, not run", "Check for a missing primary or an overloaded account."},
	{ConnectionLimitHit, "ConnectionLimitHit", slog.LevelWarn, "backend server refused a connection over its limit", "Compare the group's ConnectionLimit with the server's setting."},
	{RequestRetried, "RequestRetried", slog.LevelInfo, "request served after more than one attempt", "None unless frequent; the reason says what the earlier attempts met."},
	{RequestServed, "RequestServed", slog.LevelInfo, "request served", "None."},
	{SessionFailed, "SessionFailed", slog.LevelError, "session ended by a fault of the program", "Report the stack to the developers. The session's transaction is rolled back; other sessions continue."},
	{KeyRefused, "KeyRefused", slog.LevelWarn, "API key refused", "Compare the fingerprint with the account's keys if the caller is legitimate."},
	{AccountLimitChanged, "AccountLimitChanged", slog.LevelInfo, "limit of a client account changed", "None; a lowered limit binds once all hosts have it and a window has passed."},
	{AccountOverLimit, "AccountOverLimit", slog.LevelWarn, "operations of a client account refused over its limit", "None if the account sends more than its limit; else compare the draws by result on this host and on the coordinators."},
	{ClientLimited, "ClientLimited", slog.LevelWarn, "client refused at a limit", "None if it is rare. Else find the clients whose connections ClientClosed names."},
	{ClientClosed, "ClientClosed", slog.LevelWarn, "connection of a client closed at a limit", "Check what the peer sends, or whether it reads its answers. If it is an ordinary client, the host is too small."},
	{HolderChanged, "HolderChanged", slog.LevelInfo, "host holds the connections of accounts to a server, or no longer", "None. Compare the lists of hosts if more than two hosts hold those of one server for longer than 10 s."},
	{PeerUnreachable, "PeerUnreachable", slog.LevelWarn, "host unreachable", "Check the link between the hosts."},
	{BackendServerLeaving, "BackendServerLeaving", slog.LevelInfo, "backend server is leaving", "None."},
	{ProtocolError, "ProtocolError", slog.LevelWarn, "caller violated the protocol", "Check the caller's driver or the source address."},
	{AuthenticationFailure, "AuthenticationFailure", slog.LevelWarn, "authentication failed", "Check the caller's password; repeated failures may be an attack."},
	{BackendServerGone, "BackendServerGone", slog.LevelInfo, "backend server dropped", "None."},
	{BackendServerChanged, "BackendServerChanged", slog.LevelInfo, "entry of a backend server changed", "None."},
	{ServerDetour, "ServerDetour", slog.LevelWarn, "backend server out of direct reach, connection through another host", "Check the network between this host and the backend server."},
	{GatewayAvoided, "GatewayAvoided", slog.LevelWarn, "gateway to backend servers avoided", "None if the host stops or restarts; else check it, or its path to the server if one is named."},
	{RelayAvoided, "RelayAvoided", slog.LevelWarn, "relay of the store avoided", "None if the host stops or restarts; else check it, and its path to the store if its copy is not current."},
}

// Default rate limit of each event number: minBurst events at once, then
// defaultRate a second, so that many failures at once cannot fill the log. An
// event with a higher rate may burst up to the number for one second.
const (
	minBurst    = 20
	defaultRate = 1
)

// Rate limits, in lines a second, of the events that explain the result of a
// request or a change of the state of the cluster. At 300 bytes a line they bound
// the log of a host to some 100 KB a second.
const (
	// servedRequestRate is below the peak load of a host, so that served
	// requests are sampled at peak load.
	servedRequestRate = 50
	// failedRequestRate exceeds the load of a host in the current
	// deployments, so that every failed request is logged there.
	failedRequestRate = 200
	// stateChangeRate exceeds the rate of state changes on a host with eight
	// groups during many failures at once.
	stateChangeRate = 50
)

// rates holds the rate limits of the events that do not have the default one.
var rates = map[Number]rate.Limit{
	RequestServed:        servedRequestRate,
	RequestRetried:       servedRequestRate,
	RequestNotRun:        failedRequestRate,
	OutcomeUnknown:       failedRequestRate,
	CallerRefused:        servedRequestRate,
	PrimarySuspected:     stateChangeRate,
	PrimaryLost:          stateChangeRate,
	PrimaryFound:         stateChangeRate,
	ChangeStep:           stateChangeRate,
	ChangeCompleted:      stateChangeRate,
	ChangeRefused:        stateChangeRate,
	AccountLimitChanged:  stateChangeRate,
	ConfigurationApplied: stateChangeRate,
	AccountChanged:       stateChangeRate,
	HolderChanged:        stateChangeRate,
	BackendServerChanged: stateChangeRate,
}

// Logger writes numbered events and limits the rate of each number. The zero
// value writes to slog.Default.
type Logger struct {
	// Log is the destination; nil means slog.Default.
	Log *slog.Logger

	mu       sync.Mutex
	limiters map[Number]*limiter
}

// limiter limits the rate of one event number and counts the events that it
// suppressed since the last one that was written.
type limiter struct {
	rate       *rate.Limiter
	suppressed int
}

// Write logs an event with attributes, unless its rate limit is exceeded. The
// attributes must not contain statement texts or secrets.
func (l *Logger) Write(ctx context.Context, number Number, attrs ...slog.Attr) {
	suppressed, ok := l.allow(number)
	if !ok {
		return
	}
	entry := lookUp(number)
	all := append([]slog.Attr{slog.Int("Event", int(number)), slog.String("Name", entry.Name)}, attrs...)
	if suppressed > 0 {
		all = append(all, slog.Int("Suppressed", suppressed))
	}
	l.destination().LogAttrs(ctx, entry.Level, entry.Message, all...)
}

// allow reports whether the event may be written now. If so, it returns the number
// of events suppressed since the last one that was written.
func (l *Logger) allow(number Number) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiters == nil {
		l.limiters = make(map[Number]*limiter)
	}
	lim := l.limiters[number]
	if lim == nil {
		perSecond, ok := rates[number]
		if !ok {
			perSecond = defaultRate
		}
		lim = &limiter{rate: rate.NewLimiter(perSecond, max(minBurst, int(perSecond)))}
		l.limiters[number] = lim
	}
	if !lim.rate.Allow() {
		lim.suppressed++
		return 0, false
	}
	suppressed, lim.suppressed = lim.suppressed, 0
	return suppressed, true
}

func (l *Logger) destination() *slog.Logger {
	if l.Log != nil {
		return l.Log
	}
	return slog.Default()
}

func lookUp(number Number) Entry {
	for _, e := range catalogue {
		if e.Number == number {
			return e
		}
	}
	return Entry{Number: number, Name: "Unlisted", Level: slog.LevelError, Message: "event missing from the catalogue"}
}
