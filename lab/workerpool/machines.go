package workerpool

// Speeds of the cores of the two kinds of machines in a fleet.
const (
	fastCoreSpeed = 1
	slowCoreSpeed = 0.7
)

// CoreSpeed returns the speed of the cores of a server, by its number in the fleet: every second server has slower
// ones.
func CoreSpeed(server int) float64 {
	if server%2 == 0 {
		return fastCoreSpeed
	}
	return slowCoreSpeed
}

// TotalCores returns the work that a number of servers can do in a second, in seconds on a core of speed 1.
func TotalCores(servers, coresPerServer int) (cores float64) {
	for i := range servers {
		cores += float64(coresPerServer) * CoreSpeed(i)
	}
	return cores
}

// AgentCurve returns the curve of the cores of a render farm agent, without a warm-up time.
func AgentCurve(cores int, speed float64) Curve {
	return Curve{
		Workers:           cores,
		Speed:             speed,
		Knee:              2,
		SlowdownPerExcess: 0.1,
		MinSpeedRatio:     0.4,
		WarmupStartRatio:  0.25,
	}
}

// StoreCurve returns the curve of the slots of a store, without a warm-up.
func StoreCurve(slots int) Curve {
	return Curve{
		Workers:           slots,
		Speed:             1,
		Knee:              1,
		SlowdownPerExcess: 0.2,
		MinSpeedRatio:     0.3,
	}
}
