package routing

import "strconv"

// Location is the path of a value in a configuration, such as routes[2].splits[0].weight. Its names
// are those of the JSON form of Configuration. The empty location is the configuration itself.
type Location string

// At returns the location of entry i of a list of the configuration.
func At(list string, i int) Location { return Location(list).Index(i) }

// Field returns the location of a field of the value at l.
func (l Location) Field(name string) Location {
	if l == "" {
		return Location(name)
	}
	return l + "." + Location(name)
}

// Index returns the location of entry i of the list at l.
func (l Location) Index(i int) Location {
	return l + Location("["+strconv.Itoa(i)+"]")
}
