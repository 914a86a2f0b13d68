package admission

// creditPerCore is the number of outstanding requests per core that all clients together are allowed.
const creditPerCore = 2.5

// Values that are advertised in a drain, so that clients turn away from the server.
const (
	drainingLevel  = 1 // AdvertLevel: no request ranks above it
	drainingCredit = 0 // AdvertCredit: no outstanding request
	drainingWeight = 0 // AdvertWeight: all clients skip the server
)

// advertiser decides the value that is sent along with answers, by which clients limit what they send. Only
// the simulator uses it: the settings of the real server (internal/config) have Advert set to AdvertOff.
type advertiser struct {
	advert  Advert
	cores   int
	clients int // that share the credit
}

func (a *advertiser) configure(settings *Settings) {
	a.advert = settings.Advert
	a.cores = settings.Cores
	a.clients = settings.Clients
}

// atStart returns the value that is sent from the start: the credit of each client, for AdvertCredit. Other
// adverts have no initial value.
func (a *advertiser) atStart() (value float64, ok bool) {
	if a.advert != AdvertCredit {
		return 0, false
	}
	total := creditPerCore * float64(a.cores)
	return total / float64(max(a.clients, 1)), true
}

// atDrain returns the value that is sent from the start of a drain, if any.
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
