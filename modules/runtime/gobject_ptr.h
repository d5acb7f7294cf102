#pragma once

#include <gio/gio.h>
#include <glib.h>
#include <memory>

namespace chivewharf::runtime {

struct gobject_deleter {
    void operator()(gpointer object) const noexcept { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <class T>
using gobject_ptr = std::unique_ptr<T, gobject_deleter>;

/// Adds a reference to a GObject.
template <class T>
gobject_ptr<T> retain(T* object)
{
    return gobject_ptr<T>{static_cast<T*>(g_object_ref(object))};
}

struct gerror_deleter {
    void operator()(GError* error) const noexcept { g_error_free(error); }
};

/// Owns a GError.
using gerror_ptr = std::unique_ptr<GError, gerror_deleter>;

struct gbytes_deleter {
    void operator()(GBytes* bytes) const noexcept { g_bytes_unref(bytes); }
};

/// Owns a GBytes.
using gbytes_ptr = std::unique_ptr<GBytes, gbytes_deleter>;

struct gfree_deleter {
    void operator()(gpointer memory) const noexcept { g_free(memory); }
};

/// Owns memory allocated by GLib.
template <class T>
using gfree_ptr = std::unique_ptr<T, gfree_deleter>;

} // namespace chivewharf::runtime
