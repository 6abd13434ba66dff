package runner

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// methodVersion is the mesh method that returns the configuration version an
// instance runs.
const methodVersion instance.Method = "config.version"

// versionTimeout bounds a query of all instances.
const versionTimeout = 1 * clock.Second

// versions queries all instances for the configuration version they run.
type versions struct {
	settings loader.Settings
	state    *registrar.Registrar
	mesh     *instance.Mesh
}

func newVersions(s loader.Settings, state *registrar.Registrar, mesh *instance.Mesh) *versions {
	return &versions{s, state, mesh}
}

func (v *versions) handle(context.Context, unit.Instance, []byte) ([]byte, error) {
	_, version := v.state.Config()
	return encoder.Marshal(version), nil
}

// queryAll queries the instances concurrently. An instance that doesn't answer
// within versionTimeout counts as unreachable.
func (v *versions) queryAll(ctx context.Context) []operator.RunningVersion {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout.Duration())
	defer cancel()
	answers := make([]operator.RunningVersion, len(v.settings.Peers))
	var g errgroup.Group
	for i, p := range v.settings.Peers {
		g.Go(func() error {
			answers[i] = v.query(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

func (v *versions) query(ctx context.Context, p loader.Peer) operator.RunningVersion {
	answer := operator.RunningVersion{Instance: p.Instance, AvailabilityZone: p.AvailabilityZone}
	if p.Instance == v.settings.Instance {
		_, answer.Version = v.state.Config()
		answer.Reachable = true
		return answer
	}
	body, err := v.mesh.Call(ctx, p.Instance, methodVersion, nil)
	if err == nil && encoder.Unmarshal(body, &answer.Version) == nil {
		answer.Reachable = true
	}
	return answer
}
