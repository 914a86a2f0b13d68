package workerpool

// Speeds of the cores of the two kinds of machines in a fleet, in seconds of work per second.
const (
	fastCoreSpeed = 1
	slowCoreSpeed = 0.7
)

// CoreSpeed returns the speed of the cores of a server. Servers with an odd number in the fleet have slower cores.
func CoreSpeed(server int) float64 {
	if server%2 == 0 {
		return fastCoreSpeed
	}
	return slowCoreSpeed
}

// TotalCores returns the processing capacity of a number of servers, as a number of cores of speed 1.
func TotalCores(servers, coresPerServer int) (cores float64) {
	for i := range servers {
		cores += float64(coresPerServer) * CoreSpeed(i)
	}
	return cores
}

// AgentCurve returns the throughput curve of the cores of a render farm agent. It has no warm-up unless the caller sets
// WarmupTime.
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

// StoreCurve returns the throughput curve of the slots of a store, without a warm-up.
func StoreCurve(slots int) Curve {
	return Curve{
		Workers:           slots,
		Speed:             1,
		Knee:              1,
		SlowdownPerExcess: 0.2,
		MinSpeedRatio:     0.3,
	}
}
