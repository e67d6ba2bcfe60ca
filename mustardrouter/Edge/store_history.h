#pragma once

#include "mustardrouter/Core/store_position.h"
#include "platform/http_client.h"

#include <functional>
#include <optional>

namespace mustardrouter
{

/// The store's era as this instance knows it, from all of the store's answers on all connections.
class store_history
{
public:
    struct handlers {
        /// The first answer named this era.
        std::function<void(store_era era)> onFirstEra;
        /// The store has returned from an older copy. What was written last may be lost, and revisions are given out again.
        std::function<void(store_era before, store_era era)> onLost;
        /// An answer named no era, or one that can't be read, although others did; called once until one does again.
        std::function<void()> onMissing;
    };

    explicit store_history(handlers callbacks);

    /// Takes note of an answer. Returns its era, or nothing if a later one is known: then the answer must not be used.
    std::optional<store_era> accept(const platform::http_response &response);
    /// Takes note of the era that another instance names. An earlier one, or one that is known, changes nothing.
    void learn(store_era era);
    store_era era() const;
    /// Another store is used from now on.
    void forget();

private:
    handlers m_handlers;
    std::optional<store_era> m_era;
    bool m_missing = false;
};

} // namespace mustardrouter
