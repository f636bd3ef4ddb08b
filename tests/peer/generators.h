#pragma once

#include "control/peermessage.h"
#include <rapidcheck.h>
#include <string>

/// Generators of random values for the property tests of the peer links.
namespace cumingauge::testing {

inline rc::Gen<std::string> anyText() {
  return rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

inline rc::Gen<std::string> anyBytes() {
  return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

inline rc::Gen<model::Member> anyMember() {
  return rc::gen::build<model::Member>(
      rc::gen::set(&model::Member::Process_, anyText()),
      rc::gen::set(&model::Member::Incarnation_),
      rc::gen::set(&model::Member::Zone_, anyText()),
      rc::gen::set(&model::Member::Port_),
      rc::gen::set(&model::Member::Status_,
                   rc::gen::element(model::MemberStatus::Alive,
                                    model::MemberStatus::Suspected,
                                    model::MemberStatus::Dead,
                                    model::MemberStatus::Left)));
}

inline rc::Gen<model::BackendServer> anyServer() {
  return rc::gen::build<model::BackendServer>(
      rc::gen::set(&model::BackendServer::Name_, anyText()),
      rc::gen::set(&model::BackendServer::Vm_, anyText()),
      rc::gen::set(&model::BackendServer::Port_),
      rc::gen::set(&model::BackendServer::Slots_));
}

inline rc::Gen<model::ChangeAction> anyAction() {
  return rc::gen::oneOf(
      rc::gen::map(anyText(),
                   [](std::string Name) -> model::ChangeAction {
                     return model::ChoosePreset{std::move(Name)};
                   }),
      rc::gen::map(anyServer(),
                   [](model::BackendServer Server) -> model::ChangeAction {
                     return model::PutServer{std::move(Server)};
                   }),
      rc::gen::map(
          rc::gen::container<std::vector<model::BackendServer>>(anyServer()),
          [](std::vector<model::BackendServer> Servers) -> model::ChangeAction {
            return model::PutServers{std::move(Servers)};
          }),
      rc::gen::map(anyText(), [](std::string Name) -> model::ChangeAction {
        model::Preset Preset;
        Preset.Name_ = std::move(Name);
        Preset.Routes_.resize(2);
        Preset.Workspaces_ = std::vector<model::Workspace>{{"north", {"d1"}}};
        return model::PutPreset{std::move(Preset)};
      }));
}

inline rc::Gen<model::Change> anyChange() {
  return rc::gen::build<model::Change>(
      rc::gen::set(&model::Change::Id_, anyText()),
      rc::gen::set(&model::Change::Author_, anyText()),
      rc::gen::set(&model::Change::Version_),
      rc::gen::set(&model::Change::Action_, anyAction()));
}

inline rc::Gen<control::PeerMessage> anyPeerMessage() {
  using control::PeerMessage;
  return rc::gen::oneOf(
      rc::gen::map(rc::gen::arbitrary<std::uint64_t>(),
                   [](std::uint64_t Version) -> PeerMessage {
                     control::Heartbeat Out;
                     Out.Version_ = Version;
                     return Out;
                   }),
      rc::gen::map(rc::gen::container<std::vector<model::Change>>(anyChange()),
                   [](std::vector<model::Change> Changes) -> PeerMessage {
                     control::Entries Out;
                     Out.Changes_ = std::move(Changes);
                     return Out;
                   }),
      rc::gen::map(anyBytes(),
                   [](std::string Bytes) -> PeerMessage {
                     control::StateChunk Out;
                     Out.Bytes_ = std::move(Bytes);
                     return Out;
                   }),
      rc::gen::map(rc::gen::container<std::vector<model::Member>>(anyMember()),
                   [](std::vector<model::Member> Members) -> PeerMessage {
                     control::MemberUpdate Out;
                     Out.Members_ = std::move(Members);
                     return Out;
                   }),
      rc::gen::map(rc::gen::container<std::vector<std::string>>(anyText()),
                   [](std::vector<std::string> Workspaces) -> PeerMessage {
                     return control::CreditRequest{8, 2, std::move(Workspaces)};
                   }),
      rc::gen::map(rc::gen::container<std::vector<std::uint32_t>>(
                       rc::gen::arbitrary<std::uint32_t>()),
                   [](const std::vector<std::uint32_t> &Times) -> PeerMessage {
                     control::CreditReply Out{8, {{true, {}}, {false, {}}}};
                     for (const std::uint32_t Time : Times)
                       Out.Answers_.push_back({false, Time});
                     return Out;
                   }));
}

} // namespace cumingauge::testing
