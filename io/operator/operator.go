// Package operator owns a host's HTTP interface for operators, with metrics,
// health, readiness and status, and the client of the status.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout bounds the wait for a request's headers.
const headerTimeout = 5 * time.Second

// The field names of the types below are the JSON keys of /status.

// Server is a backend server of a group in a Status.
type Server struct {
	ID         string
	Role       string
	Term       int64
	Received   int64
	Applied    int64
	Generation int64
	// Age is the proven upper bound of the age of the data that reads return, or
	// empty if there is none.
	Age string
	// Heard is how long ago the server last responded.
	Heard   string
	Leaving bool
}

// Group is a database group in a Status. Servers is empty on a host that does not
// coordinate the group.
type Group struct {
	ID           string
	Term         int64
	Generation   int64
	Primary      string
	Successor    string
	Candidate    string
	Coordinators []string
	Servers      []Server
}

// Applied is the lowest configuration version in force on the hosts of a data
// centre.
type Applied struct {
	DataCentre string
	Version    int64
	Hosts      int
}

// Status is the status of a host: the configuration versions in force, its
// contact with the platform, and its groups and client accounts.
type Status struct {
	Host              string
	DataCentre        string
	Leaving           bool
	Version           int64
	InForceVersion    int64
	InForceHosts      int
	KnownHosts        int
	PlatformAvailable bool
	// ContactAge is how long ago the host last confirmed that its configuration
	// was up to date.
	ContactAge string
	Applied    []Applied
	Groups     []Group
	Accounts   []string
}

// Source provides the readiness and the status of a host.
type Source interface {
	// Ready returns nil, or the reason why the host should get no new callers.
	Ready() error
	// Status returns the current status.
	Status() Status
}

// Handler returns the handler of /metrics, /health, /ready and /status.
func Handler(source Source, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := source.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(source.Status())
	})
	return mux
}

// Serve serves the handler until the context ends, then closes all connections.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
