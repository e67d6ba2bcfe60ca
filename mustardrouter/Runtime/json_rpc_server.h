#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A refusal that travels as a JSON-RPC error; thrown by handlers into the server alone.
struct json_rpc_refusal {
    int code = 0;
    std::string message;
};

/// JSON-RPC 2.0 over HTTP on one address. Requests run on the server's own threads.
class json_rpc_server
{
public:
    /// Answers one call; runs on several threads at once.
    using handler = std::function<Json::Value(const std::string &method, const Json::Value &parameters)>;

    /// Serves `methods` at `address` ("IP:PORT"). With a key, calls must bring it as a bearer token.
    json_rpc_server(const std::string &address, const std::string &key, const std::vector<std::string> &methods, handler handle);
    ~json_rpc_server();
    json_rpc_server(const json_rpc_server &) = delete;
    json_rpc_server &operator=(const json_rpc_server &) = delete;

    /// Starts listening; false when the address cannot be had.
    bool start();
    /// Stops listening and waits for running calls.
    void stop();
    /// Port that is listened on, also when the settings said 0.
    int port() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
