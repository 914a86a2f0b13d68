package admission

// creditPerCore is how many requests per core all clients together may have outstanding.
const creditPerCore = 2.5

// The values that turn clients away from a server that drains.
const (
	levelOfNone  = 1 // no request ranks above it
	creditOfNone = 0
	weightOfNone = 0
)

// advertiser decides on the value that is sent along with answers, by which clients limit what they send.
// Only the simulator uses it: with the settings of the real server, from internal/config, Advert is
// AdvertOff.
type advertiser struct {
	advert  Advert
	cores   int
	clients int
}

func (a *advertiser) configure(settings *Settings) {
	a.advert = settings.Advert
	a.cores = settings.Cores
	a.clients = settings.Clients
}

// atStart returns the value that is sent from the start: the credit of each client. There is none for other
// adverts.
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
		return levelOfNone, true
	case AdvertCredit:
		return creditOfNone, true
	case AdvertWeight:
		return weightOfNone, true
	}
	return 0, false
}
