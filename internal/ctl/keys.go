package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
)

func keygenCommand(e *Env) *command {
	return &command{
		name: "keygen", synopsis: "generate the key pair that signs and verifies commit evidence",
		usage: "keygen\n  Example: sesamectl keygen",
		run: func(context.Context, []string) subcommands.ExitStatus {
			pub, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return e.fail(err)
			}
			out := map[string]string{"signing_key": hex.EncodeToString(private.Seed()), "verify_key": hex.EncodeToString(pub)}
			return e.print(out, func(w io.Writer) {
				fmt.Fprintf(w, "signing_key\t%s\nverify_key\t%s\n", out["signing_key"], out["verify_key"])
			})
		},
	}
}

func hashCommand(e *Env) *command {
	return &command{
		name: "hash", synopsis: "hash a key from standard input for use in a record",
		usage: "hash < keyfile\n  Example: printf %s \"$KEY\" | sesamectl hash",
		run: func(context.Context, []string) subcommands.ExitStatus {
			data, err := readBounded(os.Stdin)
			if err != nil {
				return e.fail(err)
			}
			fmt.Fprintln(e.Stdout, configstate.KeyHash(strings.TrimSpace(string(data))))
			return subcommands.ExitSuccess
		},
	}
}
