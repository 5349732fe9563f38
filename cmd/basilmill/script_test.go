package main_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"basilmill/cmd/internal/command"
	"basilmill/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"basilmill": func() {
			os.Exit(int(command.Run(context.Background(), command.Root(), os.Args, os.Stderr)))
		},
	})
}

// TestScripts runs each script of testdata against a stand-in platform of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(platform.New())
			env.Defer(server.Close)
			env.Setenv("BASILMILL_PLATFORM", server.Listener.Addr().String())
			env.Setenv("USER", "els")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": runAndCheckExit,
			"call":  callPlatform,
		},
	})
}

// runAndCheckExit implements the script command "exits CODE COMMAND ARGUMENT...",
// which runs a command and checks its exit code.
func runAndCheckExit(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// callPlatform implements the script command "call METHOD PATH FILE|JSON", which
// sends a request to the platform. An update creates an object.
func callPlatform(ts *testscript.TestScript, _ bool, args []string) {
	body := []byte(args[2])
	if !strings.HasPrefix(args[2], "{") {
		body = []byte(ts.ReadFile(args[2]))
	}
	request, err := http.NewRequestWithContext(context.Background(), args[0],
		"http://"+ts.Getenv("BASILMILL_PLATFORM")+args[1], bytes.NewReader(body))
	ts.Check(err)
	request.Header.Set("If-Match", `"0"`)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	ts.Check(response.Body.Close())
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("status %d", response.StatusCode)
	}
}
