package configuration

import (
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// maxKeysPerTeam bounds the keys of one team.
	maxKeysPerTeam = 1_000
	// maxRate bounds the rate and the burst of a usage cap.
	maxRate = 1e9
)

func validateTeam(field string, t *configpb.Team, d *configpb.Document) *Rejection {
	if r := validateName(field+".id", t.GetId(), maxTeamIDBytes); r != nil {
		return r
	}
	if r := validateRange(field+".weight", int64(t.GetWeight()), 0, maxWeight); r != nil {
		return r
	}
	if r := validateRange(field+".in_flight_quota", int64(t.GetInFlightQuota()), 0, maxInFlightQuota); r != nil {
		return r
	}
	if r := validateUsageCap(field, t); r != nil {
		return r
	}
	if t.GetRateLimit() > 0 && d.GetVersion() == 0 {
		// Only control hosts know all dispatchers, among which a cap is divided.
		return reject(field+".rate_limit", "use host discovery", "the document lists its hosts")
	}
	if t.GetPriority() < configpb.Priority_PRIORITY_UNSPECIFIED || t.GetPriority() > configpb.Priority_PRIORITY_BACKGROUND {
		return reject(field+".priority", "use urgent, normal or background, or leave it out", "it is unknown")
	}
	if r := validateKeyDigests(field+".key_digests", t.GetKeyDigests()); r != nil {
		return r
	}
	for _, s := range t.GetServices() {
		if _, ok := find(d.GetServices(), serviceKey, s); !ok {
			return reject(field+".services", "put the service first", "service %q does not exist", s)
		}
	}
	return nil
}

// validateUsageCap checks the rate and the burst. The comparisons are written so that NaN is rejected.
func validateUsageCap(field string, t *configpb.Team) *Rejection {
	if rate := t.GetRateLimit(); !(rate >= 0 && rate <= maxRate) {
		return reject(field+".rate_limit", "use requests per second, or 0 for no cap", "%v is not in the range 0 to %v", rate, maxRate)
	}
	if burst := t.GetBurst(); !(burst >= 0 && burst <= maxRate) {
		return reject(field+".burst", "use a number of requests", "%v is not in the range 0 to %v", burst, maxRate)
	}
	return nil
}

func validateKeyDigests(field string, digests [][]byte) *Rejection {
	if len(digests) > maxKeysPerTeam {
		return reject(field, "remove some", "it has %d keys, the most is %d", len(digests), maxKeysPerTeam)
	}
	for _, digest := range digests {
		if len(digest) != KeyDigestBytes {
			return reject(field, "use the first 16 bytes of the SHA-256 of each key", "a digest has %d bytes", len(digest))
		}
	}
	return nil
}

func validatePutTeam(d *configpb.Document, t *configpb.Team) *Rejection {
	if r := validateTeam("put_team", t, d); r != nil {
		return r
	}
	if len(t.GetKeyDigests()) == 0 {
		return nil
	}
	return validateKeyOwners(put(d.GetTeams(), teamKey, t))
}

// validateKeyOwners checks that no two teams have the same key. The reason names the teams and never the key.
func validateKeyOwners(teams []*configpb.Team) *Rejection {
	owners := map[keyDigest]string{}
	for _, t := range teams {
		for _, digest := range t.GetKeyDigests() {
			d := keyDigest(digest)
			if owner, taken := owners[d]; taken && owner != t.GetId() {
				return reject("teams", "give each team keys of its own", "teams %q and %q have the same key", owner, t.GetId())
			}
			owners[d] = t.GetId()
		}
	}
	return nil
}
