#include "mustardrouter/Edge/told_objects.h"

#include "mustardrouter/Edge/content_difference.h"

#include <utility>

namespace mustardrouter
{

namespace
{

bool takeDifferences(const relay::told_object &object, const platform::stored_object &known, object_watch::told_changes &told)
{
    const store_position position{told.to.era, store_revision(object.revision())};
    store_position reached = known.position;
    std::optional<Json::Value> content;
    const relay::told_difference *only = nullptr;
    for (const relay::told_difference &one : object.differences()) {
        told.bytes += one.difference().size();
        if (reached != store_position{told.to.era, store_revision(one.before())}) {
            continue;
        }
        const std::optional<Json::Value> difference = platform::decodeContent(one.difference());
        content = difference ? applyDifference(content ? *content : known.content, *difference) : std::nullopt;
        if (!content) {
            return false;
        }
        only = reached == known.position ? &one : nullptr;
        reached.revision = store_revision(one.after());
    }
    if (reached != position) {
        return false;
    }
    if (only != nullptr) {
        told.differences[object.name()] = {known.position, position, only->difference()};
    }
    told.changed[object.name()] = {object.name(), position, content ? std::move(content).value() : known.content};
    return true;
}

} // namespace

void tellObject(const platform::stored_object &object,
                store_position known,
                const lacking_changes &lacking,
                std::size_t maxBytes,
                relay::told_object &sent)
{
    sent.set_name(object.name);
    sent.set_revision(object.position.revision.value());
    if (object.position <= known) {
        sent.set_kept(true);
        return;
    }
    const auto differences = lacking.differences.find(object.name);
    if (differences != lacking.differences.end()) {
        for (const object_difference &one : leadingTo(differences->second, object.position)) {
            relay::told_difference &difference = *sent.add_differences();
            difference.set_before(one.before.revision.value());
            difference.set_after(one.after.revision.value());
            difference.set_difference(one.difference);
        }
    }
    if (!sent.differences().empty()) {
        return;
    }
    std::string content = platform::encodeContent(object.content);
    if (content.size() > maxBytes) {
        sent.set_too_large(true);
        return;
    }
    sent.set_content(std::move(content));
}

bool takeObject(const relay::told_object &object, const object_watch::objects &copy, object_watch::told_changes &told)
{
    if (object.kept() || !object.differences().empty()) {
        const auto known = copy.find(object.name());
        return known != copy.end() && takeDifferences(object, known->second, told);
    }
    std::optional<Json::Value> content = platform::decodeContent(object.content());
    if (!content) {
        return false;
    }
    told.bytes += object.content().size();
    told.changed[object.name()] = {object.name(), {told.to.era, store_revision(object.revision())}, std::move(*content)};
    return true;
}

} // namespace mustardrouter
