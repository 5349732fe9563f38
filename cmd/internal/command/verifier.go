package command

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/xdg-go/scram"

	"basilmill/cmd/internal/exit"
)

const (
	// scramIterations is PostgreSQL's default for SCRAM-SHA-256.
	scramIterations = 4096
	saltBytes       = 16
)

var errNoPassword = errors.New("standard input holds no password")

// printVerifier reads a password from standard input and prints its verifier. The
// password is then neither in the command line, which other users of the machine
// can see, nor in the template.
func printVerifier(_ context.Context, c *cli.Command) error {
	line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return &exit.InvalidError{Cause: errors.Join(errNoPassword, err)}
	}
	verifier, err := newVerifier(password)
	if err != nil {
		return &exit.InvalidError{Cause: err}
	}
	_, err = fmt.Fprintln(c.Root().Writer, verifier)
	return err
}

// newVerifier returns the SCRAM verifier of a password with a new salt, in the
// format of PostgreSQL.
func newVerifier(password string) (string, error) {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", err
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", err
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", scramIterations, encode(salt), encode(credentials.StoredKey), encode(credentials.ServerKey)), nil
}
