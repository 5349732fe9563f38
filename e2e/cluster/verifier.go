package cluster

import (
	"encoding/base64"
	"fmt"

	"github.com/xdg-go/scram"

	"basilmill/core/account"
)

// scramIterations is PostgreSQL's default iteration count for SCRAM-SHA-256.
const scramIterations = 4096

// Verifier returns the SCRAM-SHA-256 verifier of a password, with a fixed salt.
func Verifier(password string) (account.Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", err
	}
	salt := "basilmill-salt16"
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: scramIterations})
	if err != nil {
		return "", err
	}
	encode := base64.StdEncoding.EncodeToString
	return account.Verifier(fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s",
		scramIterations, encode([]byte(salt)), encode(credentials.StoredKey), encode(credentials.ServerKey))), nil
}
