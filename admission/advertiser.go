package admission

// creditPerCore is the number of outstanding requests per core that all clients together are allowed.
const creditPerCore = 2.5

// Values that are advertised during a drain, so that clients use other servers.
const (
	drainingLevel  = 1 // AdvertLevel: top of the rank scale; clients do not send requests that rank below it
	drainingCredit = 0 // AdvertCredit: clients may have no outstanding request
	drainingWeight = 0 // AdvertWeight: each client always skips the server
)

// advertiser determines the value that the server adds to its answers (ActionAdvertise). Clients use the
// value to limit the requests that they send to this server. Only the simulator uses it: the settings of the
// real server (internal/config) have Advert set to AdvertOff.
type advertiser struct {
	advert  Advert // meaning of the value
	cores   int
	clients int // number of clients that share the credit
}

func (a *advertiser) configure(settings *Settings) {
	a.advert = settings.Advert
	a.cores = settings.Cores
	a.clients = settings.Clients
}

// atStart returns the value that is advertised when the server starts. Only AdvertCredit has one: the credit
// of each client.
func (a *advertiser) atStart() (value float64, ok bool) {
	if a.advert != AdvertCredit {
		return 0, false
	}
	total := creditPerCore * float64(a.cores)
	return total / float64(max(a.clients, 1)), true
}

// atDrain returns the value that is advertised when a drain starts. AdvertOff has none.
func (a *advertiser) atDrain() (value float64, ok bool) {
	switch a.advert {
	case AdvertOff:
		return 0, false
	case AdvertLevel:
		return drainingLevel, true
	case AdvertCredit:
		return drainingCredit, true
	case AdvertWeight:
		return drainingWeight, true
	}
	return 0, false
}
