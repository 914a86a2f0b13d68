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

// maxInteger is the largest n for which a float64 represents all integers from -n to n.
const maxInteger = 1 << 53

// object reads the members of a JSON object. A member that is absent, null or of the wrong type reads as zero. The first
// invalid member of a document is recorded, so that readers need not handle errors one by one.
type object struct {
	value      *fastjson.Value
	path       string                 // of the object in the document; "": the root
	firstError **configcheck.KeyError // shared by all objects of the document; *firstError is nil if there is none
}

// newObject returns the object at the root of a document.
func newObject(value *fastjson.Value) object {
	return object{value: value, firstError: new(*configcheck.KeyError)}
}

// err returns a *configcheck.KeyError for the first invalid member of the document, or nil.
func (o object) err() error {
	if *o.firstError == nil {
		return nil
	}
	return *o.firstError
}

// fail records that the member called name is invalid, unless another member was recorded before.
func (o object) fail(name string, err error) {
	if *o.firstError == nil {
		*o.firstError = &configcheck.KeyError{Key: o.key(name), Err: err}
	}
}

// failf is fail with an error that is formatted as by fmt.Errorf.
func (o object) failf(name, format string, args ...any) {
	o.fail(name, fmt.Errorf(format, args...))
}

// key returns the path of the member called name in the document.
func (o object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// elementName returns the name of an element of a list, such as Lanes[0].
func elementName(name string, i int) string { return name + "[" + strconv.Itoa(i) + "]" }

// get returns the member if its type is one of types, or nil. A member of another type is invalid.
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

// child returns value, the member called name, as an object.
func (o object) child(name string, value *fastjson.Value) object {
	return object{value: value, path: o.key(name), firstError: o.firstError}
}

// object returns the member called name, an object.
func (o object) object(name string) object {
	return o.child(name, o.get(name, fastjson.TypeObject))
}

// objects returns the elements of the member called name, a list of objects.
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

// visitKeys calls visit with the path of every key in the object and the objects below it. The elements of a list share the
// path name[]; of their keys, it visits those that all elements have.
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

// visitCommonKeys calls visit with the path of every key that all items have. o has the path of the items.
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

// list returns the elements of the member called name, a list.
func (o object) list(name string) []*fastjson.Value {
	if member := o.get(name, fastjson.TypeArray); member != nil {
		return member.GetArray()
	}
	return nil
}

// text returns the member called name, a string.
func (o object) text(name string) string {
	if member := o.get(name, fastjson.TypeString); member != nil {
		return string(member.GetStringBytes())
	}
	return ""
}

// number returns the member called name, a finite number.
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

// hex returns the number in the member called name, a string of up to 16 hex digits.
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

// integer returns the member called name, an integer between -maxInteger and maxInteger.
func (o object) integer(name string) int64 {
	number := o.number(name)
	if number != math.Trunc(number) || math.Abs(number) > maxInteger {
		o.failf(name, "want an integer between -2^53 and 2^53, got %v", number)
		return 0
	}
	return int64(number)
}

// microseconds returns the duration in the member called name, an integer of microseconds.
func (o object) microseconds(name string) time.Duration {
	count := o.integer(name)
	if count > math.MaxInt64/1000 || count < math.MinInt64/1000 {
		o.failf(name, "%d microseconds exceed the range of a duration", count)
		return 0
	}
	return time.Duration(count) * time.Microsecond
}

// boolean returns the member called name, true or false.
func (o object) boolean(name string) bool {
	member := o.get(name, fastjson.TypeTrue, fastjson.TypeFalse)
	return member != nil && member.GetBool()
}

// numbers returns the member called name, a list of numbers.
func (o object) numbers(name string) []float64 {
	get := func(item *fastjson.Value) float64 { return item.GetFloat64() }
	return elements(o, name, "a number", get, fastjson.TypeNumber)
}

// booleans returns the member called name, a list of booleans.
func (o object) booleans(name string) []bool {
	get := func(item *fastjson.Value) bool { return item.GetBool() }
	return elements(o, name, "true or false", get, fastjson.TypeTrue, fastjson.TypeFalse)
}

// texts returns the member called name, a list of strings.
func (o object) texts(name string) []string {
	get := func(item *fastjson.Value) string { return string(item.GetStringBytes()) }
	return elements(o, name, "a string", get, fastjson.TypeString)
}

// elements returns the member called name, a list of values that get reads. An item whose type is not one of types is
// invalid. want describes a valid item in the message, as in "a number".
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

// enum returns the entry of values for the member called name, a string. A string without an entry is invalid.
func enum[T any](o object, name string, values map[string]T) T {
	text := o.text(name)
	value, ok := values[text]
	if !ok {
		o.failf(name, "unknown value %q", text)
	}
	return value
}
