package entry

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

const (
	// keyAgeShare is the part of the bound on withdrawn keys after which keyed work is refused. The rest allows for
	// clocks that run at slightly different speeds.
	keyAgeShare = 0.9
	// maxUnknownKeyAge is the age of the configuration up to which a key that it lacks is reported as unknown. With an
	// older one, a newer configuration may have the key.
	maxUnknownKeyAge = 1500 * time.Millisecond
	// outdatedRetryAfter is the retry delay of a host whose configuration may be outdated. Hosts poll control hosts
	// about twice a second.
	outdatedRetryAfter = 500 * time.Millisecond
)

// authentication finds the team of the caller: by its key if the configuration requires keys, and otherwise by the team
// header.
type authentication struct {
	next Filter
	cfg  *Config
}

func newAuthentication(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &authentication{next: next, cfg: cfg}, nil
}

// Handle refuses requests without a valid key where one is required, all keyed requests while the keys in force may be
// outdated, and teams that may not call the service.
func (f *authentication) Handle(x *Exchange) error {
	find := f.namedTeam
	if x.snapshot.RequiresKeys() {
		find = f.teamOfKey
	}
	if err := find(x); err != nil {
		return err
	}
	if len(x.team.Services) > 0 && !slices.Contains(x.team.Services, x.match.Service) {
		return problem.New(problem.NoRoute, problem.NotRun, "the team may not call this service")
	}
	if x.team.HasPriority {
		x.match.Priority = x.team.Priority
	}
	return f.next.Handle(x)
}

// namedTeam takes the team that the caller names, or the default team.
func (f *authentication) namedTeam(x *Exchange) error {
	header := f.cfg.Dialect.Team
	if header != "" {
		name, ok := singleValue(x.r.Header, header)
		if !ok || name != "" && !printable(name, MaxIDBytes) {
			return problem.New(problem.BadRequest, problem.NotRun, header+" must be one value of at most 128 printable ASCII characters")
		}
		x.teamName = name
	}
	x.team = x.snapshot.Team(x.teamName)
	return nil
}

// teamOfKey takes the team that holds the caller's key. On a public route the key is optional, and one that is unknown
// or may be outdated counts as none.
func (f *authentication) teamOfKey(x *Exchange) error {
	team, err := f.authenticate(x)
	switch {
	case err == nil:
		x.team, x.teamName, x.keyed = team, team.ID, true
		return nil
	case x.match.Public:
		x.team = x.snapshot.Team("")
		return nil
	default:
		return err
	}
}

// authenticate returns the team that holds the caller's key. No error contains the key.
func (f *authentication) authenticate(x *Exchange) (route.Team, error) {
	age, known := x.configurationAge, x.configurationKnown
	bound := f.cfg.Settings.KeyWithdrawal.D()
	if bound > 0 && (!known || float64(age) > keyAgeShare*float64(bound)) {
		return route.Team{}, outdatedConfiguration("the keys in force may have been withdrawn")
	}
	key, ok := singleValue(x.r.Header, f.cfg.Dialect.Key)
	if !ok || key == "" {
		return route.Team{}, problem.New(problem.UnknownKey, problem.NotRun, "send one key in "+f.cfg.Dialect.Key)
	}
	team, found := x.snapshot.TeamOfKey(key)
	switch {
	case found:
		return team, nil
	case !known || age > maxUnknownKeyAge:
		return route.Team{}, outdatedConfiguration("the key may be newer than the configuration in force")
	default:
		return route.Team{}, problem.New(problem.UnknownKey, problem.NotRun, "no team has the key")
	}
}

func outdatedConfiguration(detail string) *problem.Problem {
	return problem.New(problem.ConfigurationOutdated, problem.NotRun, detail).After(outdatedRetryAfter)
}
