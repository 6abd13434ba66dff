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

// certs certifies instances by a private authority, which it makes first if
// there is none.
func certs(flags *flag.FlagSet) func(ctx context.Context, args []string) error {
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

// openAuthority takes the authority that the folder holds, so that a later call
// adds instances to the same fleet; it makes one if there is none.
func openAuthority(dir string) (*certifier.Authority, error) {
	_, err := os.Stat(filepath.Join(dir, certifier.AuthorityKeyFile))
	if errors.Is(err, os.ErrNotExist) {
		return certifier.NewAuthority()
	}
	return certifier.LoadAuthority(dir)
}
