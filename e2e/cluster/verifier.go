package cluster

import (
	"encoding/base64"
	"fmt"

	"github.com/xdg-go/scram"

	"basilmill/core/account"
)

// iterations is PostgreSQL's default for SCRAM-SHA-256.
const iterations = 4096

// Verifier returns the verifier of a password, with a fixed salt.
func Verifier(password string) (account.Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", err
	}
	salt := "basilmill-salt16"
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return "", err
	}
	encode := base64.StdEncoding.EncodeToString
	return account.Verifier(fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s",
		iterations, encode([]byte(salt)), encode(credentials.StoredKey), encode(credentials.ServerKey))), nil
}
