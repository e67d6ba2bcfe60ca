#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Thrown by handlers to return a JSON-RPC error; caught by the server.
struct json_rpc_refusal {
    int code = 0;
    std::string message;
};

/// JSON-RPC 2.0 server over HTTP on one address, with a thread for each connection.
class json_rpc_server
{
public:
    /// Handles one call. Must be thread-safe.
    using handler = std::function<Json::Value(const std::string &method, const Json::Value &parameters)>;

    /// Serves `methods` at `address` ("IP:PORT"). Unless `key` is empty, calls must carry it as bearer token.
    json_rpc_server(const std::string &address, const std::string &key, const std::vector<std::string> &methods, handler handle);
    ~json_rpc_server();
    json_rpc_server(const json_rpc_server &) = delete;
    json_rpc_server &operator=(const json_rpc_server &) = delete;

    /// Starts listening; false when the address cannot be bound.
    bool start();
    /// Stops listening and waits for running calls to finish.
    void stop();
    /// The bound port, also when the address has port 0.
    int port() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
