// Built as C++14: libjsonrpccpp 0.7 does not compile with later standards.
#include "mustardrouter/Runtime/json_rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace mustardrouter
{

namespace
{

constexpr std::size_t maxBodyBytes = 4U << 20U;
constexpr unsigned connectionTimeoutSeconds = 60;

bool parseAddress(const std::string &text, sockaddr_in &address)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    const int port = std::atoi(text.c_str() + colon + 1);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

/// Compares without stopping at the first difference, so that timing does not reveal how much of a key matches.
bool equalConstantTime(const std::string &left, const std::string &right)
{
    unsigned char difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < left.size() && index < right.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    }
    return difference == 0;
}

/// HTTP server bound to one address; the library's own HTTP server listens on all interfaces.
class bound_connector : public jsonrpc::AbstractServerConnector
{
public:
    bound_connector(const std::string &address, const std::string &key)
        : m_address(address)
        , m_key(key)
    {
    }

    bool StartListening() override
    {
        sockaddr_in address{};
        if (!parseAddress(m_address, address)) {
            return false;
        }
        m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                                    0,
                                    nullptr,
                                    nullptr,
                                    &bound_connector::onRequest,
                                    this,
                                    MHD_OPTION_SOCK_ADDR,
                                    &address,
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                    1U,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    connectionTimeoutSeconds,
                                    MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    bool StopListening() override
    {
        if (m_daemon != nullptr) {
            MHD_stop_daemon(m_daemon);
            m_daemon = nullptr;
        }
        return true;
    }

    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }

    int port() const
    {
        const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? 0 : info->port;
    }

private:
    static MHD_Result reply(MHD_Connection *connection, unsigned status, const std::string &body)
    {
        MHD_Response *response = MHD_create_response_from_buffer(body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
        const MHD_Result result = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    bool isAuthorized(MHD_Connection *connection) const
    {
        if (m_key.empty()) {
            return true;
        }
        const char *given = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
        return given != nullptr && equalConstantTime(given, "Bearer " + m_key);
    }

    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *,
                                const char *method,
                                const char *,
                                const char *data,
                                size_t *size,
                                void **context)
    {
        auto *connector = static_cast<bound_connector *>(self);
        auto *body = static_cast<std::string *>(*context);
        if (body == nullptr) {
            *context = new std::string();
            return MHD_YES;
        }
        if (*size > 0) {
            if (body->size() + *size > maxBodyBytes) {
                return MHD_NO;
            }
            body->append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        const std::unique_ptr<std::string> request(body);
        *context = nullptr;
        if (std::strcmp(method, "POST") != 0) {
            return reply(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "{}");
        }
        if (!connector->isAuthorized(connection)) {
            return reply(connection, MHD_HTTP_UNAUTHORIZED, "{\"error\":\"not_authorized\"}");
        }
        std::string response;
        connector->OnRequest(*request, &response);
        return reply(connection, MHD_HTTP_OK, response);
    }

    std::string m_address;
    std::string m_key;
    MHD_Daemon *m_daemon = nullptr;
};

/// Forwards procedure calls from the library to the handler.
class call_dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit call_dispatcher(json_rpc_server::handler handle)
        : m_handle(std::move(handle))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        try {
            output = m_handle(procedure.GetProcedureName(), input);
        } catch (const json_rpc_refusal &refusal) {
            throw jsonrpc::JsonRpcException(refusal.code, refusal.message);
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

private:
    json_rpc_server::handler m_handle;
};

} // namespace

struct json_rpc_server::parts {
    parts(const std::string &address, const std::string &key, handler handle)
        : connector(address, key)
        , dispatcher(std::move(handle))
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, dispatcher))
    {
        connector.SetHandler(protocol.get());
    }

    bound_connector connector;
    call_dispatcher dispatcher;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

json_rpc_server::json_rpc_server(const std::string &address,
                                 const std::string &key,
                                 const std::vector<std::string> &methods,
                                 handler handle)
    : m_parts(new parts(address, key, std::move(handle)))
{
    for (const std::string &method : methods) {
        m_parts->protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }
}

json_rpc_server::~json_rpc_server()
{
    stop();
}

bool json_rpc_server::start()
{
    return m_parts->connector.StartListening();
}

void json_rpc_server::stop()
{
    m_parts->connector.StopListening();
}

int json_rpc_server::port() const
{
    return m_parts->connector.port();
}

} // namespace mustardrouter
