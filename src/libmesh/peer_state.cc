#include "peer_state.h"

#include <nlohmann/json.hpp>

#include "cassiakeel/mesh/registrar.h"

namespace cassiakeel::mesh::pvt {
namespace {

using nlohmann::json;

constexpr const char* kAnnouncedField = "announced";

json EncodeRows(const RowMap& rows) {
  json list = json::array();
  for (const auto& [key, row] : rows) {
    list.push_back(
        {{"key", key}, {"value", row.value}, {"version", row.version}});
  }
  return list;
}

RowMap DecodeRows(const json& list) {
  RowMap rows;
  for (const auto& item : list) {
    StoredRow row;
    row.key = item.at("key").get<std::string>();
    row.value = item.at("value").get<std::string>();
    row.version = item.at("version").get<std::uint64_t>();
    rows[row.key] = std::move(row);
  }
  return rows;
}

}  // namespace

std::string EncodePeerState(const PeerState& state) {
  return json{{"policy", EncodeRows(state.policy)},
              {"directory", EncodeRows(state.directory)}}
      // A row of another writer may contain any bytes. It is not used here, and
      // with its invalid characters replaced it is not used by the peer.
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeAnnouncement(const DirectoryEntry& row) {
  return json{
      {kAnnouncedField,
       {{"key", row.node.Value()}, {"value", EncodeDirectoryEntry(row)}}}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<PeerState> DecodePeerState(const std::string& text) {
  try {
    const auto object = json::parse(text);
    PeerState state;
    if (const auto row = object.find(kAnnouncedField); row != object.end()) {
      const auto entry =
          DecodeDirectoryEntry(row->at("key").get<std::string>(),
                               row->at("value").get<std::string>());
      if (!entry) {
        return tl::unexpected(entry.error());
      }
      state.announced = *entry;
      return state;
    }
    state.policy = DecodeRows(object.at("policy"));
    state.directory = DecodeRows(object.at("directory"));
    return state;
  } catch (const json::exception& error) {
    return Fail("decode state of a peer", error.what());
  }
}

}  // namespace cassiakeel::mesh::pvt
