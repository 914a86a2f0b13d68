package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"falldeal/internal/configcheck"

	"github.com/valyala/fastjson"
)

// maxInteger is the largest number up to which a float64 holds every integer.
const maxInteger = 1 << 53

// object reads the members of a JSON object. Members that are absent or null read as zero. All objects of one document
// share the first failure.
type object struct {
	value *fastjson.Value
	path  string
	first **configcheck.KeyError
}

// newObject returns the object at the root of a document.
func newObject(value *fastjson.Value) object {
	return object{value: value, first: new(*configcheck.KeyError)}
}

// failure returns the first failure in the document as a *configcheck.KeyError, or nil.
func (o object) failure() error {
	if *o.first == nil {
		return nil
	}
	return *o.first
}

// fail records that the member of that name is at fault.
func (o object) fail(name string, err error) {
	if *o.first == nil {
		*o.first = &configcheck.KeyError{Key: o.key(name), Err: err}
	}
}

func (o object) failf(name, format string, args ...any) {
	o.fail(name, fmt.Errorf(format, args...))
}

// key returns the path of a member.
func (o object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// elementName returns the name of an element of a list.
func elementName(name string, i int) string { return name + "[" + strconv.Itoa(i) + "]" }

// get returns the member if it has one of the types, or nil.
func (o object) get(name string, types ...fastjson.Type) *fastjson.Value {
	member := o.value.Get(name)
	if member == nil || member.Type() == fastjson.TypeNull {
		return nil
	}
	if slices.Contains(types, member.Type()) {
		return member
	}
	o.failf(name, "want a value of type %v, got %v", types[0], member.Type())
	return nil
}

func (o object) child(name string, value *fastjson.Value) object {
	return object{value: value, path: o.key(name), first: o.first}
}

func (o object) object(name string) object {
	return o.child(name, o.get(name, fastjson.TypeObject))
}

func (o object) objects(name string) []object {
	var list []object
	for i, item := range o.list(name) {
		itemName := elementName(name, i)
		if item.Type() != fastjson.TypeObject {
			o.failf(itemName, "want an object, got %v", item.Type())
		}
		list = append(list, o.child(itemName, item))
	}
	return list
}

// visitKeys calls visit with the path of every key. The objects of a list count as one, whose keys are those that all of
// them have.
func (o object) visitKeys(visit func(key string)) {
	o.value.GetObject().Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		visit(o.key(name))
		if member.Type() == fastjson.TypeObject {
			o.child(name, member).visitKeys(visit)
		}
		if member.Type() == fastjson.TypeArray {
			o.child(name+"[]", nil).visitCommonKeys(member.GetArray(), visit)
		}
	})
}

// visitCommonKeys calls visit with the path of every key that all items of a list have.
func (o object) visitCommonKeys(items []*fastjson.Value, visit func(key string)) {
	counts := map[string]int{}
	for _, item := range items {
		o.value = item
		o.visitKeys(func(key string) { counts[key]++ })
	}
	for key, n := range counts {
		if n == len(items) {
			visit(key)
		}
	}
}

func (o object) list(name string) []*fastjson.Value {
	if member := o.get(name, fastjson.TypeArray); member != nil {
		return member.GetArray()
	}
	return nil
}

func (o object) text(name string) string {
	if member := o.get(name, fastjson.TypeString); member != nil {
		return string(member.GetStringBytes())
	}
	return ""
}

func (o object) number(name string) float64 {
	member := o.get(name, fastjson.TypeNumber)
	if member == nil {
		return 0
	}
	number := member.GetFloat64()
	if math.IsNaN(number) || math.IsInf(number, 0) {
		o.failf(name, "want a finite number, got %v", member)
		return 0
	}
	return number
}

// hex reads a number that is written as a string of up to 16 hex digits.
func (o object) hex(name string) uint64 {
	text := o.text(name)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		o.failf(name, "want up to 16 hex digits, got %.40q", text)
	}
	return number
}

func (o object) integer(name string) int64 {
	number := o.number(name)
	if number != math.Trunc(number) || math.Abs(number) > maxInteger {
		o.failf(name, "want a whole number, got %v", number)
		return 0
	}
	return int64(number)
}

// microseconds reads a time in microseconds.
func (o object) microseconds(name string) time.Duration {
	count := o.integer(name)
	if count > math.MaxInt64/1000 || count < math.MinInt64/1000 {
		o.failf(name, "%d microseconds are too many", count)
		return 0
	}
	return time.Duration(count) * time.Microsecond
}

func (o object) boolean(name string) bool {
	member := o.get(name, fastjson.TypeTrue, fastjson.TypeFalse)
	return member != nil && member.GetBool()
}

func (o object) numbers(name string) []float64 {
	get := func(item *fastjson.Value) float64 { return item.GetFloat64() }
	return elements(o, name, "a number", get, fastjson.TypeNumber)
}

func (o object) booleans(name string) []bool {
	get := func(item *fastjson.Value) bool { return item.GetBool() }
	return elements(o, name, "true or false", get, fastjson.TypeTrue, fastjson.TypeFalse)
}

func (o object) texts(name string) []string {
	get := func(item *fastjson.Value) string { return string(item.GetStringBytes()) }
	return elements(o, name, "a string", get, fastjson.TypeString)
}

// elements reads a list whose items have one of the types. An item of another type is a failure, and reads as zero.
func elements[T any](o object, name, want string, get func(*fastjson.Value) T, types ...fastjson.Type) []T {
	var list []T
	for i, item := range o.list(name) {
		if !slices.Contains(types, item.Type()) {
			o.failf(elementName(name, i), "want %s, got %v", want, item.Type())
		}
		list = append(list, get(item))
	}
	return list
}

// enum reads a text that stands for a value of T.
func enum[T any](o object, name string, values map[string]T) T {
	text := o.text(name)
	value, ok := values[text]
	if !ok {
		o.failf(name, "unknown value %q", text)
	}
	return value
}
