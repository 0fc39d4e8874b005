package settings

// Values of Overload.Order.
const (
	OrderAuto = "auto"
	OrderOff  = "off"
)

// Overload configures what an entry host does while a service has too little capacity.
type Overload struct {
	// Order is "auto" or "off" (default "auto"). With "auto", requests for a service whose routes allow it are
	// ordered by urgency and admitted by the free capacity.
	Order string `toml:"order"`
}

func (c *collector) overload(o Overload) {
	if o.Order != OrderAuto && o.Order != OrderOff {
		c.fail("overload.order", "%q is not one of auto, off", o.Order)
	}
}
