package runner

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/proposer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/worker"
)

// Addresses of the development instance. devAPI is also the default address of
// the command line.
const (
	devAPI      = "127.0.0.1:7400"
	devMesh     = "127.0.0.1:7401"
	devUpstream = "127.0.0.1:7402"
)

// devInstance and devZone name the development instance.
const (
	devInstance unit.Instance         = "dev"
	devZone     unit.AvailabilityZone = "dev"
)

// sampleText is the first configuration of the development instance.
const sampleText = `AvailabilityZones:
  - Name: dev
Teams:
  - Name: demo
    Share: 1
    Limit: {CPU: 8, Memory: 16GB, Slots: 64}
Queues:
  - Name: demo
    Team: demo
    Access: Open
    Class: Interactive
    Need: {CPU: 100m, Memory: 64MB}
`

// runDev runs the development instance until the context ends: one instance with
// a stand-in upstream, sampleText and a temporary data folder.
func runDev(ctx context.Context, stdout, stderr io.Writer) error {
	folder, err := os.MkdirTemp("", "chervilvane-dev-")
	if err != nil {
		return errors.Wrap(err, "making the temporary data folder")
	}
	defer os.RemoveAll(folder)
	token, err := authenticator.NewToken()
	if err != nil {
		return err
	}
	keyFile := filepath.Join(folder, "operator.key")
	if err := os.WriteFile(keyFile, []byte(token.Plaintext()+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "writing the operator's key")
	}
	settings, err := devSettings(folder, token, stderr)
	if err != nil {
		return err
	}
	creds, err := certifier.NewEphemeralCredentials(devInstance)
	if err != nil {
		return err
	}
	fmt.Fprintf(stderr, "development instance on http://%s; operator's key in %s\n", devAPI, keyFile)
	return Run(ctx, New(settings, Options{Credentials: creds, LogTo: stdout, Extra: fx.Invoke(addSample, addStandIn)}))
}

// devSettings returns the settings of the development instance. It writes them
// as a settings file and parses it, so that they pass the usual checks.
func devSettings(folder string, token authenticator.Token, stderr io.Writer) (loader.Settings, error) {
	text := fmt.Sprintf(`Instance: %s
AvailabilityZone: %s
Listen: {API: %q, Mesh: %q}
DataFolder: %q
Peers:
  - {Instance: %s, AvailabilityZone: %s, API: %q, Mesh: %q, Voter: true}
TLS: {Authority: unused.pem, Certificate: unused.pem, Key: unused.pem}
Operators:
  - {Name: dev, KeyHash: %s}
`, devInstance, devZone, devAPI, devMesh, filepath.Join(folder, "data"),
		devInstance, devZone, devAPI, devMesh, hex.EncodeToString(token.Hash()))
	settings, findings := loader.Parse("dev", []byte(text))
	return settings, printFindings(findings, stderr)
}

// devDrainTimeout bounds the time that the stand-in upstream waits for its tasks
// on shutdown.
const devDrainTimeout = 2 * clock.Second

// sampleTimeout bounds the time to apply sampleText.
const sampleTimeout = 10 * clock.Second

// addSample applies sampleText when the application starts. Propose waits until
// the log accepts commands.
func addSample(lc fx.Lifecycle, p *proposer.Proposer, clk clock.Clock) {
	lc.Append(fx.StartHook(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, sampleTimeout.Duration())
		defer cancel()
		_, err := p.Propose(ctx, registrar.PutConfig{ID: "dev-sample", Text: []byte(sampleText), Operator: "dev", At: clk.Now()})
		return errors.Wrap(err, "applying the sample text")
	}))
}

// addStandIn runs a stand-in upstream in this process.
func addStandIn(lc fx.Lifecycle, clk clock.Clock) {
	w := worker.New(worker.Config{
		ID: "stand-in", AvailabilityZone: devZone, Rack: "r1", ListenAddress: devUpstream, EntryAddresses: []string{devAPI},
		Capacity: unit.Resources{CPU: 8 * unit.Core, Memory: 16 * unit.Gigabyte, Slots: 64, Connections: 64},
		Clock:    clk, Logger: logger.Discard(), DrainTimeout: devDrainTimeout,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() error { return w.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return group.Wait()
		},
	})
}
