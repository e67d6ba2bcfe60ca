// Built as C++14: libjsonrpccpp 0.7 does not compile with later standards.
#include "mustardrouter/Runtime/json_rpc_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/common/errors.h>

namespace mustardrouter
{

struct json_rpc_client::parts {
    parts(const std::string &address, const std::string &key)
        : connector("http://" + address)
        , client(connector, jsonrpc::JSONRPC_CLIENT_V2)
    {
        if (!key.empty()) {
            connector.AddHeader("Authorization", "Bearer " + key);
        }
    }

    jsonrpc::HttpClient connector;
    jsonrpc::Client client;
};

json_rpc_client::json_rpc_client(const std::string &address, const std::string &key)
    : m_parts(new parts(address, key))
{
}

json_rpc_client::~json_rpc_client() = default;

json_rpc_answer json_rpc_client::call(const std::string &method, const Json::Value &parameters, long timeoutMs)
{
    json_rpc_answer answer;
    m_parts->connector.SetTimeout(timeoutMs);
    try {
        answer.value = m_parts->client.CallMethod(method, parameters);
        answer.status = json_rpc_status::answered;
    } catch (const jsonrpc::JsonRpcException &exception) {
        answer.code = exception.GetCode();
        answer.message = exception.GetMessage();
        const bool transport = answer.code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR
                               || answer.code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE
                               || answer.code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
        answer.status = transport ? json_rpc_status::unanswered : json_rpc_status::refused;
    }
    return answer;
}

} // namespace mustardrouter
