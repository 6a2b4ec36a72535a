use hemlock_lib::node::answer_memory::AnswerMemory;

#[test]
fn endless_answers_leave_room_for_a_short_one() {
    for count in [1, 10, 100] {
        let mut memory = AnswerMemory::new(1_000_000);
        let mut held = vec![0; count];
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for bytes in &mut held {
                if memory.try_take(*bytes, 100) {
                    *bytes += 100;
                    has_grown = true;
                }
            }
        }
        assert!(held.iter().sum::<usize>() < 1_000_000);
        assert!(memory.try_take(0, 5_000), "{count} endless answers");
    }
}

#[test]
fn memory_that_was_given_back_is_used_again() {
    let mut memory = AnswerMemory::new(1_000);
    for _ in 0..100 {
        assert!(memory.try_take(0, 500));
        assert!(!memory.try_take(500, 100));
        memory.give_back(500);
    }
}
