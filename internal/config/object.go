package config

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// object reads the members of a JSON object. It keeps the first error, which names the key at fault
// by its path. Members that are absent or null read as zero.
type object struct {
	value *fastjson.Value
	path  string
	err   *error
}

func (o object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o object) fail(name, format string, args ...any) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s: %s", o.key(name), fmt.Sprintf(format, args...))
	}
}

// get returns the member of that type, or nil.
func (o object) get(name string, want ...fastjson.Type) *fastjson.Value {
	v := o.value.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, t := range want {
		if v.Type() == t {
			return v
		}
	}
	o.fail(name, "want a value of type %v, got %v", want[0], v.Type())
	return nil
}

func (o object) object(name string) object {
	return object{value: o.get(name, fastjson.TypeObject), path: o.key(name), err: o.err}
}

func (o object) objects(name string) []object {
	var list []object
	for i, v := range o.list(name) {
		at := name + "[" + strconv.Itoa(i) + "]"
		if v.Type() != fastjson.TypeObject {
			o.fail(at, "want an object, got %v", v.Type())
		}
		list = append(list, object{value: v, path: o.key(at), err: o.err})
	}
	return list
}

// eachKey calls f with the path of every key. The objects of a list count as one, whose keys are those that
// all of them have.
func (o object) eachKey(f func(key string)) {
	o.value.GetObject().Visit(func(k []byte, v *fastjson.Value) {
		name := string(k)
		f(o.key(name))
		switch v.Type() {
		case fastjson.TypeObject:
			object{value: v, path: o.key(name)}.eachKey(f)
		case fastjson.TypeArray:
			had := map[string]int{}
			for _, item := range v.GetArray() {
				object{value: item, path: o.key(name) + "[]"}.eachKey(func(key string) { had[key]++ })
			}
			for key, n := range had {
				if n == len(v.GetArray()) {
					f(key)
				}
			}
		}
	})
}

func (o object) list(name string) []*fastjson.Value {
	if v := o.get(name, fastjson.TypeArray); v != nil {
		return v.GetArray()
	}
	return nil
}

func (o object) text(name string) string {
	if v := o.get(name, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return ""
}

func (o object) number(name string) float64 {
	v := o.get(name, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	f := v.GetFloat64()
	if math.IsNaN(f) || math.IsInf(f, 0) {
		o.fail(name, "want a finite number, got %v", v)
		return 0
	}
	return f
}

// hex reads a number that is written as a string of up to 16 hex digits.
func (o object) hex(name string) uint64 {
	word := o.text(name)
	if word == "" {
		return 0
	}
	v, err := strconv.ParseUint(word, 16, 64)
	if err != nil {
		o.fail(name, "want up to 16 hex digits, got %.40q", word)
	}
	return v
}

func (o object) whole(name string) int64 {
	v := o.number(name)
	if v != math.Trunc(v) || math.Abs(v) > 1<<53 {
		o.fail(name, "want a whole number, got %v", v)
		return 0
	}
	return int64(v)
}

// us reads a time in microseconds.
func (o object) us(name string) time.Duration {
	v := o.whole(name)
	if v > math.MaxInt64/1000 || v < math.MinInt64/1000 {
		o.fail(name, "%d microseconds are too many", v)
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func (o object) flag(name string) bool {
	v := o.get(name, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.GetBool()
}

func (o object) numbers(name string) []float64 {
	var list []float64
	for i, v := range o.list(name) {
		if v.Type() != fastjson.TypeNumber {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want a number, got %v", v.Type())
		}
		list = append(list, v.GetFloat64())
	}
	return list
}

func (o object) flags(name string) []bool {
	var list []bool
	for i, v := range o.list(name) {
		if t := v.Type(); t != fastjson.TypeTrue && t != fastjson.TypeFalse {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want true or false, got %v", t)
		}
		list = append(list, v.GetBool())
	}
	return list
}

func (o object) texts(name string) []string {
	var list []string
	for i, v := range o.list(name) {
		if v.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", name, i), "want a string, got %v", v.Type())
		}
		list = append(list, string(v.GetStringBytes()))
	}
	return list
}

// named reads a word that stands for a value of T.
func named[T any](o object, name string, words map[string]T) T {
	word := o.text(name)
	v, ok := words[word]
	if !ok {
		o.fail(name, "unknown value %q", word)
	}
	return v
}
