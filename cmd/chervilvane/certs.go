package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/commander"
	"github.com/chervilvane/chervilvane/unit"
)

// addCertsFlags adds the flags of the command certs and returns the function that
// runs it: it writes certificates for instances, issued by a private authority,
// which it creates first if the folder has none.
func addCertsFlags(flags *flag.FlagSet) func(ctx context.Context, args []string) error {
	dir := flags.String("dir", "certs", "`FOLDER` that the files are written to")
	names := flags.String("instances", "", "instances to certify, separated by commas")
	return func(context.Context, []string) error {
		if *names == "" {
			return commander.Usagef("name the instances with -instances a1,a2")
		}
		var ids []unit.Instance
		for _, name := range strings.Split(*names, ",") {
			ids = append(ids, unit.Instance(strings.TrimSpace(name)))
		}
		authority, err := openAuthority(*dir)
		if err != nil {
			return err
		}
		return authority.WriteFiles(*dir, ids)
	}
}

// openAuthority loads the authority in a folder, so that a later call adds
// instances that trust those of earlier calls. It creates one if there is none.
func openAuthority(dir string) (*certifier.Authority, error) {
	_, err := os.Stat(filepath.Join(dir, certifier.AuthorityKeyFile))
	if errors.Is(err, os.ErrNotExist) {
		return certifier.NewAuthority()
	}
	return certifier.LoadAuthority(dir)
}
