#include "control/log_store.h"

#include <fstream>
#include <thread>

#include "control/keeper_fixture.h"
#include "control/record_file.h"
#include "control/replica_driver.h"
#include "support/file_size_limit.h"

namespace ibisvalve::control {
namespace {

wire::LogEntry EntryAt(uint64_t index, uint64_t term = 1) {
  return {index, term, wire::EntryKind::kCommand,
          "entry " + std::to_string(index)};
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

class LogStoreTest : public testing::Test {
 protected:
  std::string data() const { return folder_.path() + "/data"; }
  std::string log(int number) const {
    return data() + "/log-0000000000000000000" + std::to_string(number);
  }
  // Writes three entries one by one. Returns the size of the log after each.
  std::vector<size_t> WriteThree() {
    LogStore store(data());
    std::vector<size_t> sizes;
    for (uint64_t index = 1; index <= 3; ++index) {
      store.Append(HardState{index, wire::ReplicaId(9)}, {EntryAt(index)});
      sizes.push_back(store.log_bytes());
    }
    return sizes;
  }
  RecoveredLog Recover() { return LogStore(data()).TakeRecoveredLog(); }

  TemporaryFolder folder_;
};

TEST_F(LogStoreTest, RecoversIdentityHardStateAndEntries) {
  WriteThree();
  const wire::ReplicaId first = LogStore(data()).replica();
  EXPECT_EQ(LogStore(data()).replica(), first);
  const RecoveredLog recovered = Recover();
  EXPECT_EQ(recovered.hard_state, (HardState{3, wire::ReplicaId(9)}));
  EXPECT_EQ(recovered.entries,
            (std::vector{EntryAt(1), EntryAt(2), EntryAt(3)}));
}

TEST_F(LogStoreTest, AnEntryReplacesAllEntriesFromItsIndexOn) {
  WriteThree();
  LogStore(data()).Append(std::nullopt, {EntryAt(2, 5)});
  EXPECT_EQ(Recover().entries, (std::vector{EntryAt(1), EntryAt(2, 5)}));
}

TEST_F(LogStoreTest, RefusesADirectoryThatIsInUse) {
  LogStore store(data());
  EXPECT_THROW(LogStore{data()}, SystemError);
}

// After a torn write that ends at any byte, the entries before it are recovered
// and the log accepts new entries.
TEST_F(LogStoreTest, RecoversFromATornWriteAtEveryByte) {
  const std::vector<size_t> sizes = WriteThree();
  const std::string whole = ReadFile(log(1));
  ASSERT_EQ(whole.size(), sizes.back());
  for (size_t cut = 0; cut < whole.size(); ++cut) {
    for (const bool zeros : {false, true}) {
      std::string torn = whole.substr(0, cut);
      if (zeros) {  // the file was extended, but the data was not written
        torn.resize(whole.size(), '\0');
      }
      WriteFile(log(1), torn);
      const size_t expected = static_cast<size_t>(
          std::count_if(sizes.begin(), sizes.end(),
                        [&](size_t size) { return size <= cut; }));
      const size_t kept = Recover().entries.size();
      // With zeros, the next entry is complete if all bytes cut off are zeros.
      EXPECT_TRUE(kept == expected || (zeros && kept == expected + 1))
          << "cut at " << cut << " kept " << kept;
      LogStore(data()).Append(HardState{9, {}}, {EntryAt(kept + 1, 9)});
      EXPECT_EQ(Recover().entries.size(), kept + 1) << "cut at " << cut;
    }
  }
}

TEST_F(LogStoreTest, DetectsABitFlipInEveryByte) {
  WriteThree();
  for (const std::string& path : {log(1), data() + "/identity"}) {
    const std::string whole = ReadFile(path);
    for (size_t byte = 0; byte < whole.size(); ++byte) {
      for (int bit = 0; bit < 8; ++bit) {
        std::string flipped = whole;
        flipped[byte] = static_cast<char>(flipped[byte] ^ (1 << bit));
        WriteFile(path, flipped);
        EXPECT_THROW(LogStore{data()}, InvalidInput)
            << path << " byte " << byte << " bit " << bit;
      }
    }
    WriteFile(path, whole);
  }
}

TEST_F(LogStoreTest, RefusesADirectoryWithoutItsLog) {
  WriteThree();
  std::filesystem::remove(log(1));
  EXPECT_THROW(LogStore{data()}, InvalidInput);
}

TEST_F(LogStoreTest, RecoversASnapshotAndLaterEntries) {
  WriteThree();
  const SnapshotMeta meta{2, 1, {wire::GroupId(4), {}}};
  {
    LogStore store(data());
    store.Compact(meta, "state", HardState{3, {}}, {EntryAt(3)});
    store.Append(std::nullopt, {EntryAt(4)});
  }
  LogStore store(data());
  const RecoveredLog recovered = store.TakeRecoveredLog();
  EXPECT_EQ(recovered.snapshot, meta);
  EXPECT_EQ(recovered.entries, (std::vector{EntryAt(3), EntryAt(4)}));
  EXPECT_EQ(store.TakeSnapshotState(), "state");
  EXPECT_FALSE(std::filesystem::exists(log(1)));
}

// The process may end after writing the snapshot, after writing the new log, or
// before removing the old log. Recovery must give the same result each time.
TEST_F(LogStoreTest, RecoversFromACrashDuringCompaction) {
  WriteThree();
  const std::string old_log = ReadFile(log(1));
  {
    LogStore store(data());
    store.Compact({2, 1, {}}, "state", HardState{3, wire::ReplicaId(9)},
                  {EntryAt(3)});
  }
  const std::string new_log = ReadFile(log(2));
  const auto check = [&](const std::string& when) {
    const RecoveredLog recovered = Recover();
    EXPECT_EQ(recovered.snapshot.index, 2U) << when;
    EXPECT_EQ(recovered.hard_state.term, 3U) << when;
    EXPECT_EQ(recovered.entries, std::vector{EntryAt(3)}) << when;
  };
  WriteFile(log(1), old_log);
  check("old log not removed");
  std::filesystem::remove(log(2));
  WriteFile(log(2) + ".tmp", new_log.substr(0, new_log.size() / 2));
  check("new log not renamed");
}

// After a snapshot from the leader, the old log may hold entries that conflict
// with it. They must not be recovered.
TEST_F(LogStoreTest, DropsLogEntriesThatConflictWithTheSnapshot) {
  WriteThree();
  const std::string old_log = ReadFile(log(1));
  {
    LogStore store(data());
    store.Compact({2, 7, {}}, "state", HardState{7, {}}, {});
  }
  std::filesystem::remove(log(2));
  WriteFile(log(1), old_log);
  EXPECT_TRUE(Recover().entries.empty());
}

// Guards against a full disk that costs what was written before, or what is
// written after it has room again.
TEST_F(LogStoreTest, AnAppendWithoutRoomCanBeRepeated) {
  net::EventLoop loop;  // ignores SIGXFSZ
  {
    LogStore store(data());
    store.Append(HardState{1, wire::ReplicaId(9)}, {EntryAt(1)});
    {
      // Room for a part of the next record.
      const test::FileSizeLimit full(store.log_bytes() + 10);
      for (int i = 0; i < 2; ++i) {
        EXPECT_THROW(store.Append(std::nullopt, {EntryAt(2)}), DiskFullError);
      }
    }
    store.Append(std::nullopt, {EntryAt(2)});
    store.Append(std::nullopt, {EntryAt(3)});
  }
  EXPECT_EQ(Recover().entries,
            (std::vector{EntryAt(1), EntryAt(2), EntryAt(3)}));
}

// Guards against an append that had no room, and of which a part is found after
// a restart.
TEST_F(LogStoreTest, APartOfAnAppendWithoutRoomIsDroppedAtRecovery) {
  net::EventLoop loop;  // ignores SIGXFSZ
  {
    LogStore store(data());
    store.Append(HardState{1, wire::ReplicaId(9)}, {EntryAt(1)});
    const test::FileSizeLimit full(store.log_bytes() + 10);
    EXPECT_THROW(store.Append(std::nullopt, {EntryAt(2)}), DiskFullError);
  }
  EXPECT_EQ(Recover().entries, (std::vector{EntryAt(1)}));
}

// Guards against a snapshot that has no room and takes the log with it.
TEST_F(LogStoreTest, ACompactionWithoutRoomLeavesTheLogInUse) {
  net::EventLoop loop;  // ignores SIGXFSZ
  const SnapshotMeta meta{1, 1, {}};
  const HardState hard_state{1, wire::ReplicaId(9)};
  {
    LogStore store(data());
    store.Append(hard_state, {EntryAt(1), EntryAt(2)});
    {
      const test::FileSizeLimit full(store.log_bytes() + 500);
      EXPECT_THROW(store.Compact(meta, std::string(10'000, 's'), hard_state,
                                 {EntryAt(2)}),
                   DiskFullError);
      store.Append(std::nullopt, {EntryAt(3)});
    }
  }
  EXPECT_EQ(Recover().entries,
            (std::vector{EntryAt(1), EntryAt(2), EntryAt(3)}));
  LogStore store(data());
  store.Compact(meta, "state", hard_state, {EntryAt(2), EntryAt(3)});
  EXPECT_EQ(store.log_bytes(), std::filesystem::file_size(log(2)));
}

// Guards against a keeper that ends, and whose platform gives it up, because
// its disk is full at its first start.
TEST_F(LogStoreTest, AReplicaWaitsForRoomToStart) {
  net::EventLoop loop;  // ignores SIGXFSZ
  std::filesystem::create_directories(data());
  auto full = std::make_unique<test::FileSizeLimit>(0);
  std::thread room([&full] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    full.reset();
  });
  const ReplicaDriver driver(loop, {data()}, std::chrono::milliseconds(100),
                             std::chrono::milliseconds(800),
                             {[](const ReplicaMessage&) {},
                              [](const wire::LogEntry*) {}, [] {}, [] {}});
  room.join();
  EXPECT_NE(driver.self(), wire::ReplicaId());
}

}  // namespace
}  // namespace ibisvalve::control
