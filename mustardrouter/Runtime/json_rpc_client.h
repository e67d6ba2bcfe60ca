#pragma once

#include <json/value.h>

#include <memory>
#include <string>

namespace mustardrouter
{

/// How a call ended.
enum class json_rpc_status {
    answered,
    /// The server answered with an error; `code` and `message` say which.
    refused,
    /// No answer: the call may or may not have been carried out.
    unanswered,
};

/// Answer to a call.
struct json_rpc_answer {
    json_rpc_status status = json_rpc_status::unanswered;
    Json::Value value;
    int code = 0;
    std::string message;
};

/// Calls JSON-RPC 2.0 methods over HTTP; for one thread at a time.
class json_rpc_client
{
public:
    /// Talks to `address` ("IP:PORT"), with `key` as a bearer token when it is not empty.
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
