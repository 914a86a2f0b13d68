package model

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"

	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

// digestOf returns the SHA-256 digest of a history in its stored form. It leaves out the names of faults, which do not affect
// the simulation.
func digestOf(t *testing.T, events []history.Event) string {
	t.Helper()
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	for i := range events {
		event := events[i]
		if event.Kind == history.FaultChanged {
			event.Detail = ""
		}
		require.NoError(t, encoder.Encode(&event))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Guards against unintended changes of behavior, for instance by a refactoring of the model or of the decision code: any
// difference in an event changes a digest. A change that is meant to alter behavior records the digests anew.
func TestSeededHistoriesMatchRecordedDigests(t *testing.T) {
	burst := Fault{Kind: FaultBurst, Zone: AllZones, Factor: 1.6}
	lost := Fault{Kind: FaultZoneLost, Zone: 1}
	unresponsive := Fault{Kind: FaultStoresUnresponsive, Zone: AllZones}
	slow := Fault{Kind: FaultStoresSlow, Zone: AllZones, Factor: 8}
	for name, testCase := range map[string]struct {
		opts     Options
		strategy int // index in Strategies
		seed     uint64
		want     string
	}{
		"burst, off": {
			optionsWithFault(12, 0.85, 0.5, burst), 0, 1,
			"7d1305a5412af4958e7add860756852e37b64b1bcf871cbc183b2b89a9c90a75",
		},
		"burst, by records": {
			optionsWithFault(12, 0.85, 0.5, burst), 1, 2,
			"0e6b75aa98bcdafae03ed842b1cf8bd538e8a5b869b1e2be9aa37b54a56b358a",
		},
		"burst, by aggregates": {
			optionsWithFault(12, 0.75, 0, burst), 2, 3,
			"dfc64ff28e5e0819aae0a404f8b4e8ddfaebee3a74fdaf646b1294a0e1bf6366",
		},
		"burst, with probes": {
			optionsWithFault(12, 0.85, 1, burst), 3, 4,
			"888a64ad4abedb8f214b9e10862f51c205439e20f8d5ef8730ee67128ca58125",
		},
		"zone lost, off": {
			optionsWithFault(60, 0.8, 0.5, lost), 0, 5,
			"6b12302206d443cde546f5348256aac84f38fb0739b3ae554d9417cd8b61d159",
		},
		"zone lost, with probes": {
			optionsWithFault(60, 0.8, 0.5, lost), 3, 6,
			"a23c61145cd0e93fe62ba8d5ed8b172281cc230af5e901e01f9751eb6ae0e54f",
		},
		"unresponsive, off": {
			optionsWithFault(12, 0.8, 1, unresponsive), 0, 7,
			"437e972fbf729e87c7131841d47a70ba82e86b1c0d48e525826ae806f4b729e0",
		},
		"unresponsive, with probes": {
			optionsWithFault(12, 0.8, 1, unresponsive), 3, 8,
			"0cf1881c013d3bf1159db6321757036c61e2adf1be33facd950229ffcedb81ba",
		},
		"slow stores, off": {
			optionsWithFault(12, 0.9, 0.5, slow), 0, 9,
			"c7b5f0fe094f904d8bd2b657e3c6499ddae276c83681b9d66edb7bcacc9e22d3",
		},
		"slow stores, by aggregates": {
			optionsWithFault(12, 0.9, 0.5, slow), 2, 10,
			"dcb2e3dd660177ec7b698ef286e9d995a4aab8d93e2b6e7b3e9cc4ab534295c7",
		},
		"large fleet, by records": {
			optionsWithFault(120, 0.9, 0.5, burst), 1, 11,
			"f6afb7a1eba7e9ec434323e1898077c2a396a2c44579f73043e28be1b24d406b",
		},
		"large fleet, with probes": {
			optionsWithFault(120, 0.9, 0.5, unresponsive), 3, 12,
			"9748ce28ffadbf75911fd7702ef60e81a540d8644225380cb8b42eefa73eea72",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := testCase.opts
			opts.Seed = testCase.seed
			Strategies[testCase.strategy].Configure(&opts)
			require.Equal(t, testCase.want, digestOf(t, Run(opts)))
		})
	}
}
