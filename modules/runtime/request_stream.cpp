#include <runtime/request_stream.h>

#include <utility>

namespace chivewharf::runtime {

namespace {

/// GObject instance. GObject does not run C++ constructors, so `content` is created in
/// make_request_stream() and deleted in finalize().
struct request_stream {
    GInputStream parent;
    struct fields {
        gobject_ptr<GIOStream> connection;
        GInputStream* base; ///< input stream of the connection
        int descriptor;     ///< file descriptor of the socket; -1 for a TLS connection
        std::shared_ptr<receive_state> state;
    } * content;
};

struct request_stream_class {
    GInputStreamClass parent;
};

GType request_stream_type();

request_stream::fields& content_of(gpointer stream)
{
    return *reinterpret_cast<request_stream*>(stream)->content;
}

/// Updates the receive state after a read of the base stream, and replaces an end or an error
/// between two requests by a single byte, which libsoup takes for the start of a request.
/// \return the result of the read to report to libsoup
gssize adapt_read_result(request_stream::fields& content, gssize size, void* buffer, GError** error)
{
    if (size > 0) {
        auto& state = *content.state;
        if (!state.ended && state.on_bytes)
            state.on_bytes({static_cast<const char*>(buffer), static_cast<std::size_t>(size)});
        if (!state.ended) {
            state.receiving = true;
            return size;
        }
        size = 0;
    }
    const bool would_block = size < 0 && error != nullptr &&
                             g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    if (would_block || content.state->receiving)
        return size;
    g_clear_error(error);
    content.state->receiving = true;
    *static_cast<char*>(buffer) = 'X';
    return 1;
}

gssize read(GInputStream* stream, void* buffer, gsize count, GCancellable* cancellable,
            GError** error)
{
    auto& content = content_of(stream);
    const auto size = content.state->ended
                          ? 0
                          : g_input_stream_read(content.base, buffer, count, cancellable, error);
    return adapt_read_result(content, size, buffer, error);
}

gssize read_nonblocking(GPollableInputStream* stream, void* buffer, gsize count, GError** error)
{
    auto& content = content_of(stream);
    const auto size =
        content.state->ended
            ? 0
            : g_pollable_input_stream_read_nonblocking(G_POLLABLE_INPUT_STREAM(content.base),
                                                       buffer, count, nullptr, error);
    return adapt_read_result(content, size, buffer, error);
}

gboolean is_readable(GPollableInputStream* stream)
{
    return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(content_of(stream).base));
}

/// Source that is ready when the socket is readable. It replaces the three chained sources that
/// GLib creates for a pollable stream, each of which the loop visits in every iteration.
struct socket_source {
    GSource base;
    GPollableInputStream* stream;
    gpointer tag; ///< identifies the descriptor to g_source_query_unix_fd()
};

gboolean check_socket(GSource* source)
{
    const auto& self = *reinterpret_cast<socket_source*>(source);
    return g_source_query_unix_fd(source, self.tag) != 0 ? TRUE : FALSE;
}

gboolean dispatch_socket(GSource* source, GSourceFunc callback, gpointer data)
{
    const auto& self = *reinterpret_cast<socket_source*>(source);
    return reinterpret_cast<GPollableSourceFunc>(reinterpret_cast<void (*)()>(callback))(
        G_OBJECT(self.stream), data);
}

/// Calls a closure that was set as the callback of the source, as GLib's pollable source does.
gboolean call_closure(GObject* stream, gpointer closure)
{
    GValue result = G_VALUE_INIT;
    GValue parameter = G_VALUE_INIT;
    g_value_init(&result, G_TYPE_BOOLEAN);
    g_value_init(&parameter, G_TYPE_OBJECT);
    g_value_set_object(&parameter, stream);
    g_closure_invoke(static_cast<GClosure*>(closure), &result, 1, &parameter, nullptr);
    const auto keep_source = g_value_get_boolean(&result);
    g_value_unset(&result);
    g_value_unset(&parameter);
    return keep_source;
}

void finalize_socket(GSource* source)
{
    g_object_unref(reinterpret_cast<socket_source*>(source)->stream);
}

GSource* create_source(GPollableInputStream* stream, GCancellable* cancellable)
{
    static GSourceFuncs functions{
        nullptr, &check_socket, &dispatch_socket, &finalize_socket, G_SOURCE_FUNC(&call_closure),
        nullptr};
    const auto& content = content_of(stream);
    if (content.descriptor < 0 || cancellable != nullptr) {
        const auto base = std::unique_ptr<GSource, decltype(&g_source_unref)>{
            g_pollable_input_stream_create_source(G_POLLABLE_INPUT_STREAM(content.base), nullptr),
            &g_source_unref};
        return g_pollable_source_new_full(stream, base.get(), cancellable);
    }
    auto* source = g_source_new(&functions, sizeof(socket_source));
    auto& added = *reinterpret_cast<socket_source*>(source);
    added.stream = G_POLLABLE_INPUT_STREAM(g_object_ref(stream));
    added.tag = g_source_add_unix_fd(source, content.descriptor,
                                     static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR));
    return source;
}

gboolean close(GInputStream* stream, GCancellable* cancellable, GError** error)
{
    return g_io_stream_close(content_of(stream).connection.get(), cancellable, error);
}

void finalize(GObject* object)
{
    delete reinterpret_cast<request_stream*>(object)->content;
    auto* parent = g_type_class_peek_parent(g_type_class_peek(request_stream_type()));
    G_OBJECT_CLASS(parent)->finalize(object);
}

void init_class(gpointer klass, gpointer /*data*/)
{
    G_OBJECT_CLASS(klass)->finalize = &finalize;
    G_INPUT_STREAM_CLASS(klass)->read_fn = &read;
    G_INPUT_STREAM_CLASS(klass)->close_fn = &close;
}

void init_pollable(gpointer interface, gpointer /*data*/)
{
    auto* pollable = static_cast<GPollableInputStreamInterface*>(interface);
    pollable->is_readable = &is_readable;
    pollable->create_source = &create_source;
    pollable->read_nonblocking = &read_nonblocking;
}

GType request_stream_type()
{
    static const GType type = [] {
        const GTypeInfo info{
            sizeof(request_stream_class), nullptr, nullptr, &init_class, nullptr, nullptr,
            sizeof(request_stream),       0,       nullptr, nullptr};
        const auto registered = g_type_register_static(
            G_TYPE_INPUT_STREAM, "ChivewharfRequestStream", &info, GTypeFlags{});
        const GInterfaceInfo pollable{&init_pollable, nullptr, nullptr};
        g_type_add_interface_static(registered, G_TYPE_POLLABLE_INPUT_STREAM, &pollable);
        return registered;
    }();
    return type;
}

} // namespace

gobject_ptr<GInputStream> make_request_stream(GIOStream* connection,
                                              std::shared_ptr<receive_state> state)
{
    auto* stream = g_object_new(request_stream_type(), nullptr);
    const int descriptor =
        G_IS_SOCKET_CONNECTION(connection)
            ? g_socket_get_fd(g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)))
            : -1;
    reinterpret_cast<request_stream*>(stream)->content = new request_stream::fields{
        retain(connection), g_io_stream_get_input_stream(connection), descriptor, std::move(state)};
    return gobject_ptr<GInputStream>{G_INPUT_STREAM(stream)};
}

} // namespace chivewharf::runtime
