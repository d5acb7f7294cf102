#include <runtime/request_stream.h>

#include <utility>

namespace chivewharf::runtime {

namespace {

/// The instance in GObject's layout; `content` is created and destroyed by hand.
struct request_stream {
    GInputStream parent;
    struct fields {
        gobject_ptr<GIOStream> connection;
        GInputStream* base; ///< of the connection
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

/// Adapts the outcome of a read of the base stream.
gssize adapt(request_stream::fields& content, gssize size, void* buffer, GError** error)
{
    if (size > 0) {
        content.state->receiving = true;
        return size;
    }
    const bool waits = size < 0 && error != nullptr &&
                       g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    if (waits || content.state->receiving)
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
    return adapt(content, g_input_stream_read(content.base, buffer, count, cancellable, error),
                 buffer, error);
}

gssize read_nonblocking(GPollableInputStream* stream, void* buffer, gsize count, GError** error)
{
    auto& content = content_of(stream);
    return adapt(content,
                 g_pollable_input_stream_read_nonblocking(G_POLLABLE_INPUT_STREAM(content.base),
                                                          buffer, count, nullptr, error),
                 buffer, error);
}

gboolean is_readable(GPollableInputStream* stream)
{
    return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(content_of(stream).base));
}

GSource* create_source(GPollableInputStream* stream, GCancellable* cancellable)
{
    const auto base = std::unique_ptr<GSource, decltype(&g_source_unref)>{
        g_pollable_input_stream_create_source(G_POLLABLE_INPUT_STREAM(content_of(stream).base),
                                              nullptr),
        &g_source_unref};
    return g_pollable_source_new_full(stream, base.get(), cancellable);
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
    reinterpret_cast<request_stream*>(stream)->content = new request_stream::fields{
        retain(connection), g_io_stream_get_input_stream(connection), std::move(state)};
    return gobject_ptr<GInputStream>{G_INPUT_STREAM(stream)};
}

} // namespace chivewharf::runtime
