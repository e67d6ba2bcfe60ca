#pragma once

#include <json/value.h>

#include <memory>
#include <string>

namespace mustardrouter
{

/// Outcome of a call.
enum class json_rpc_status {
    answered,
    /// The server returned an error, described by `code` and `message`.
    refused,
    /// No valid response: the call may or may not have been executed.
    unanswered,
};

/// Response to a call.
struct json_rpc_answer {
    json_rpc_status status = json_rpc_status::unanswered;
    Json::Value value;
    int code = 0;
    std::string message;
};

/// JSON-RPC 2.0 client over HTTP. Not thread-safe.
class json_rpc_client
{
public:
    /// Sends calls to `address` ("IP:PORT"), with `key` as bearer token unless it is empty.
    json_rpc_client(const std::string &address, const std::string &key);
    ~json_rpc_client();
    json_rpc_client(const json_rpc_client &) = delete;
    json_rpc_client &operator=(const json_rpc_client &) = delete;

    /// Calls a method and waits at most `timeoutMs`.
    json_rpc_answer call(const std::string &method, const Json::Value &parameters, long timeoutMs);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace mustardrouter
